package org.pollenrock.settings;

import java.util.List;
import java.util.Objects;

/**
 * Outcome of reading settings.
 *
 * @param <T> type of the settings
 */
public sealed interface ReadResult<T> {
  /**
   * The settings are valid.
   *
   * @param value the settings
   * @param <T> type of the settings
   */
  record Valid<T>(T value) implements ReadResult<T> {
    /** Checks that the value is present. */
    public Valid {
      Objects.requireNonNull(value, "value");
    }
  }

  /**
   * The settings are not valid.
   *
   * @param errors what is wrong, at least one
   * @param <T> type that valid settings would have had
   */
  record Invalid<T>(List<SettingsError> errors) implements ReadResult<T> {
    /** Copies the errors. */
    public Invalid {
      errors = List.copyOf(errors);
    }
  }

  /**
   * The settings, for callers that treat invalid ones as a programming error.
   *
   * @return the value
   * @throws IllegalStateException when there are errors
   */
  default T orElseThrow() {
    return switch (this) {
      case Valid<T>(T value) -> value;
      case Invalid<T>(List<SettingsError> errors) ->
          throw new IllegalStateException(errors.toString());
    };
  }
}

package org.pollenrock.core.settings;

import java.util.Objects;

/** One step of a change. */
public sealed interface SettingsEdit {
  /**
   * Place that the edit changes.
   *
   * @return the path
   */
  SettingsPath path();

  /**
   * Sets a value or a whole branch.
   *
   * @param path the place
   * @param value what shall stand there
   */
  record Put(SettingsPath path, SettingsNode value) implements SettingsEdit {
    /** Checks that both parts are present. */
    public Put {
      Objects.requireNonNull(path, "path");
      Objects.requireNonNull(value, "value");
    }
  }

  /**
   * Removes a value or a whole branch.
   *
   * @param path the place
   */
  record Remove(SettingsPath path) implements SettingsEdit {
    /** Checks that the path is present. */
    public Remove {
      Objects.requireNonNull(path, "path");
    }
  }
}

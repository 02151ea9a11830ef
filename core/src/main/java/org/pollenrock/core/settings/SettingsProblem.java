package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * One thing that is wrong with settings.
 *
 * @param path where it is
 * @param message what is wrong, with the closest valid name or the permitted range
 */
public record SettingsProblem(SettingsPath path, String message) {
  /** Checks that both parts are present. */
  public SettingsProblem {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    return (path.depth() == 0 ? "(top)" : path.toString()) + ": " + message;
  }
}

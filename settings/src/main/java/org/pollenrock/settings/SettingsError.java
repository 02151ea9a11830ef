package org.pollenrock.settings;

import java.util.Objects;
import org.pollenrock.core.settings.SettingsPath;

/**
 * One error in a settings file.
 *
 * @param file name of the file, as it was given
 * @param line line of the entry, from 1
 * @param column column of the entry, from 1
 * @param path path of the entry, empty for the document
 * @param message what is wrong
 */
public record SettingsError(String file, int line, int column, SettingsPath path, String message) {
  /** Checks that all parts are present. */
  public SettingsError {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    String place = file + ":" + line + ":" + column + ": ";
    return path.depth() == 0 ? place + message : place + path + ": " + message;
  }
}

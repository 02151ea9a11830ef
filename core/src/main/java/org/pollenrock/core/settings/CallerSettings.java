package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * What the tree says of one caller.
 *
 * @param values values for all its requests
 * @param kinds values for its requests of a kind, by the kind's name
 */
public record CallerSettings(SettingsValues values, NameTable<SettingsValues> kinds) {
  /** A caller that inherits everything. */
  public static final CallerSettings EMPTY =
      new CallerSettings(SettingsValues.NONE, NameTable.empty());

  /** Checks that all parts are present. */
  public CallerSettings {
    Objects.requireNonNull(values, "values");
    Objects.requireNonNull(kinds, "kinds");
  }
}

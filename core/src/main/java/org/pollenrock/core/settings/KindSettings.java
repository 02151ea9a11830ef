package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * What the tree says of a kind of request, for all customers.
 *
 * @param match which requests are of this kind
 * @param values values for them
 */
public record KindSettings(KindMatch match, SettingsValues values) {
  /** Checks that both parts are present. */
  public KindSettings {
    Objects.requireNonNull(match, "match");
    Objects.requireNonNull(values, "values");
  }
}

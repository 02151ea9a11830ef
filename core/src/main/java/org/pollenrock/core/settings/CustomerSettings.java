package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;

/**
 * What the tree says of one customer.
 *
 * @param values values for all its requests
 * @param apiKeys its API keys in the order of their hashes
 * @param kinds values for its requests of a kind, by the kind's name
 * @param callers its callers by name
 */
public record CustomerSettings(
    SettingsValues values,
    List<ApiKey> apiKeys,
    NameTable<SettingsValues> kinds,
    NameTable<CallerSettings> callers) {
  /** Copies the keys. */
  public CustomerSettings {
    Objects.requireNonNull(values, "values");
    Objects.requireNonNull(kinds, "kinds");
    Objects.requireNonNull(callers, "callers");
    apiKeys = List.copyOf(apiKeys);
  }
}

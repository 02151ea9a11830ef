package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * An API key of a customer.
 *
 * @param hash SHA-256 of the key
 * @param caller name of the caller that it identifies
 */
public record ApiKey(ApiKeyHash hash, String caller) {
  /** Checks that both parts are present. */
  public ApiKey {
    Objects.requireNonNull(hash, "hash");
    Objects.requireNonNull(caller, "caller");
  }
}

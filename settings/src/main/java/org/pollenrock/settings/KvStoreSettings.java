package org.pollenrock.settings;

import java.util.Objects;

/**
 * How a router reaches the KV cache store.
 *
 * @param address the store
 * @param timeoutNanos time after which a call has failed, in nanoseconds
 */
public record KvStoreSettings(HostPort address, long timeoutNanos) {
  /** Checks that all parts are present. */
  public KvStoreSettings {
    Objects.requireNonNull(address, "address");
  }
}

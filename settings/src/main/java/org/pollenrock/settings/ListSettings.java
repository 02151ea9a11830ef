package org.pollenrock.settings;

import java.util.Objects;

/**
 * How a router reaches the instance list.
 *
 * @param address the instance list
 * @param pollIntervalNanos time between two reads, in nanoseconds
 * @param timeoutNanos time after which a read has failed, in nanoseconds
 */
public record ListSettings(HostPort address, long pollIntervalNanos, long timeoutNanos) {
  /** Checks that all parts are present. */
  public ListSettings {
    Objects.requireNonNull(address, "address");
  }
}

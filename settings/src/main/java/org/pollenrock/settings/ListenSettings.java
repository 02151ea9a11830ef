package org.pollenrock.settings;

import java.util.Objects;

/**
 * Addresses on which a router listens.
 *
 * @param callers for callers
 * @param operators for operators: health, metrics, state
 * @param peers for other routers
 */
public record ListenSettings(HostPort callers, HostPort operators, HostPort peers) {
  /** Checks that all parts are present. */
  public ListenSettings {
    Objects.requireNonNull(callers, "callers");
    Objects.requireNonNull(operators, "operators");
    Objects.requireNonNull(peers, "peers");
  }
}

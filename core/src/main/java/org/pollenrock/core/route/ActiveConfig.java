package org.pollenrock.core.route;

import java.util.Optional;

/** Holds the routing configuration in force. Within a process, its version only increases. */
public final class ActiveConfig {
  private RoutingConfig current;

  /** Creates a holder without a configuration. */
  public ActiveConfig() {}

  /**
   * Puts a configuration into force unless its version is not higher than the current one.
   *
   * @param config the configuration
   * @return whether the configuration came into force
   */
  public boolean replaceIfNewer(RoutingConfig config) {
    if (current != null && config.version() <= current.version()) {
      return false;
    }
    current = config;
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration; empty until the first one is known
   */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Returns the limits on callers.
   *
   * @return the limits in force; the defaults until a configuration is known
   */
  public CallerBounds callerBounds() {
    return current == null ? CallerBounds.DEFAULT : current.callerBounds();
  }
}

package org.pollenrock.core.route;

import java.util.Optional;

/** Configuration in force; versions only go up within a process. */
public final class ActiveConfig {
  private RoutingConfig current;

  /** Creates a history without a configuration. */
  public ActiveConfig() {}

  /**
   * Takes a configuration unless a later one is in force.
   *
   * @param config the configuration
   * @return whether it came into force
   */
  public boolean replaceIfNewer(RoutingConfig config) {
    if (current != null && config.version() <= current.version()) {
      return false;
    }
    current = config;
    return true;
  }

  /**
   * Configuration in force.
   *
   * @return the configuration; empty until one is known
   */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Bounds on callers.
   *
   * @return the bounds in force, or the defaults until a configuration is known
   */
  public CallerBounds callerBounds() {
    return current == null ? CallerBounds.DEFAULT : current.callerBounds();
  }
}

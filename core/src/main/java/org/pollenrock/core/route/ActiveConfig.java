package org.pollenrock.core.route;

import java.util.Optional;
import java.util.Set;

/** Holds the routing configuration in force. Within a process, its version only increases. */
public final class ActiveConfig {
  private static final CacheScopes NONE_SHARING = new CacheScopes(Set.of());

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
   * Returns the scope in which prompts of a customer are cached now.
   *
   * @param customer name of the customer; empty for requests without one
   * @return the scope by the configuration in force; shared with none until one is known
   */
  public String cacheScope(Optional<String> customer) {
    return (current == null ? NONE_SHARING : current.cacheScopes()).scopeOf(customer);
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

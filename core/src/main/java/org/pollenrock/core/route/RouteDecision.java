package org.pollenrock.core.route;

import java.util.Optional;

/** Result of matching a request against a configuration. */
public sealed interface RouteDecision {
  /**
   * The request is allowed.
   *
   * @param route the matching route
   * @param customer the customer of the request; empty for an anonymous request
   */
  record Allowed(Route route, Optional<CustomerAccess> customer) implements RouteDecision {}

  /** No route matches the host and path. */
  record NoRoute() implements RouteDecision {}

  /**
   * The route requires an API key, and the key is missing or unknown.
   *
   * @param route the matching route
   */
  record UnknownKey(Route route) implements RouteDecision {}
}

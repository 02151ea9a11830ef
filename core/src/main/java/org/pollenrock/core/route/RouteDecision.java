package org.pollenrock.core.route;

import java.util.Optional;

/** Whether a configuration lets a request pass. */
public sealed interface RouteDecision {
  /**
   * The request may go on.
   *
   * @param route its route
   * @param customer its customer; empty for an anonymous request
   */
  record Allowed(Route route, Optional<CustomerAccess> customer) implements RouteDecision {}

  /** No route matches host and path. */
  record NoRoute() implements RouteDecision {}

  /**
   * The route wants a key that is missing or unknown.
   *
   * @param route the route
   */
  record UnknownKey(Route route) implements RouteDecision {}
}

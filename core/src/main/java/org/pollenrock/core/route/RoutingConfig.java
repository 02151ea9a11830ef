package org.pollenrock.core.route;

import java.util.Map;
import java.util.Optional;

/**
 * One accepted configuration.
 *
 * @param version version of the configuration; a later one is higher
 * @param routes the routes
 * @param servicesByName services by name
 * @param customersByKey customers by API key
 * @param requiresApiKey whether requests need an API key unless their route is anonymous
 * @param callerBounds bounds on callers
 * @param prefixStoreAddress address of the store of shared prefixes, if there is one
 */
public record RoutingConfig(
    long version,
    RouteTable routes,
    Map<String, ServiceSpec> servicesByName,
    Map<String, CustomerAccess> customersByKey,
    boolean requiresApiKey,
    CallerBounds callerBounds,
    Optional<String> prefixStoreAddress) {
  /** Copies the maps. */
  public RoutingConfig {
    servicesByName = Map.copyOf(servicesByName);
    customersByKey = Map.copyOf(customersByKey);
  }

  /**
   * Decides whether a request may go on.
   *
   * @param host host that the caller named
   * @param target path and query
   * @param key API key that the caller sent, if any
   * @return the route with the customer, or why there is none
   */
  public RouteDecision decide(String host, String target, Optional<String> key) {
    Optional<Route> route = routes.find(host, target);
    if (route.isEmpty()) {
      return new RouteDecision.NoRoute();
    }
    if (!requiresApiKey) {
      return new RouteDecision.Allowed(route.get(), Optional.empty());
    }
    Optional<CustomerAccess> customer = key.map(customersByKey::get);
    if (customer.isEmpty() && !route.get().anonymous()) {
      return new RouteDecision.UnknownKey(route.get());
    }
    return new RouteDecision.Allowed(route.get(), customer);
  }
}

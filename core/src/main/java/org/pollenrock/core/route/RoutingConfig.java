package org.pollenrock.core.route;

import java.util.Map;
import java.util.Optional;

/**
 * An accepted routing configuration.
 *
 * @param version version of the configuration; newer configurations have higher versions
 * @param routes the routes
 * @param servicesByName services by name
 * @param customersByKey customers by API key, as it is read from a header
 * @param cacheScopes scopes in which prompts of customers are cached
 * @param requiresApiKey whether requests need an API key unless their route is anonymous
 * @param callerBounds limits on callers
 * @param prefixStoreAddress address of the prefix store, if there is one
 */
public record RoutingConfig(
    long version,
    RouteTable routes,
    Map<String, ServiceSpec> servicesByName,
    Map<String, CustomerAccess> customersByKey,
    CacheScopes cacheScopes,
    boolean requiresApiKey,
    CallerBounds callerBounds,
    Optional<String> prefixStoreAddress) {
  /** Copies the maps. */
  public RoutingConfig {
    servicesByName = Map.copyOf(servicesByName);
    customersByKey = Map.copyOf(customersByKey);
  }

  /**
   * Returns whether customers compete for the room of the services, so that it has to be rationed.
   *
   * @return whether any customer has a quota
   */
  public boolean limitsCustomers() {
    return customersByKey.values().stream().anyMatch(customer -> customer.quota().isPresent());
  }

  /**
   * Decides whether a request is allowed, and on which route.
   *
   * @param host host from the request
   * @param target path and query
   * @param apiKey API key from the request, if any
   * @return the route and the customer, or why the request is not allowed
   */
  public RouteDecision decide(String host, String target, Optional<String> apiKey) {
    Optional<Route> route = routes.find(host, target);
    if (route.isEmpty()) {
      return new RouteDecision.NoRoute();
    }
    if (!requiresApiKey) {
      return new RouteDecision.Allowed(route.get(), Optional.empty());
    }
    Optional<CustomerAccess> customer = apiKey.map(customersByKey::get);
    if (customer.isEmpty() && !route.get().anonymous()) {
      return new RouteDecision.UnknownKey(route.get());
    }
    return new RouteDecision.Allowed(route.get(), customer);
  }
}

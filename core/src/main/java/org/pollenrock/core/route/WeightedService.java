package org.pollenrock.core.route;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other services of the route; not negative
 */
public record WeightedService(String service, long weight) {
  /** Checks the weight. */
  public WeightedService {
    if (weight < 0) {
      throw new IllegalArgumentException("service weight must not be negative: " + weight);
    }
  }
}

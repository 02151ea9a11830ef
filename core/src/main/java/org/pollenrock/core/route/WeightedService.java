package org.pollenrock.core.route;

/**
 * Service that gets a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other services of the route; positive
 */
public record WeightedService(String service, int weight) {
  /** Checks the weight. */
  public WeightedService {
    if (weight < 0) {
      throw new IllegalArgumentException("negative weight: " + weight);
    }
  }
}

package org.pollenrock.core.placement;

import java.util.List;

/** Orders the servers that can take a request. */
public sealed interface PlacementStrategy
    permits ExpectedCostStrategy,
        RandomStrategy,
        LeastLoadedStrategy,
        ConsistentHashStrategy,
        CustomPlacementStrategy {
  /**
   * Orders candidates for a request.
   *
   * @param context the request, its suitable servers and what is known about them
   * @return at least one candidate, best first
   */
  List<Candidate> rank(PlacementContext context);
}

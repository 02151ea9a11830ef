package org.pollenrock.core.placement;

import java.util.List;

/** Ranks the servers that can serve a request. */
public sealed interface PlacementStrategy
    permits ExpectedCostStrategy,
        RandomStrategy,
        LeastLoadedStrategy,
        ConsistentHashStrategy,
        CustomPlacementStrategy {
  /**
   * Ranks candidates for a request.
   *
   * @param context the request, its eligible servers and the state of the placer
   * @return at least one candidate, best first
   */
  List<Candidate> rank(PlacementContext context);
}

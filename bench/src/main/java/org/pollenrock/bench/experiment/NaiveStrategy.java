package org.pollenrock.bench.experiment;

import java.util.Comparator;
import java.util.List;
import org.pollenrock.core.placement.Candidate;
import org.pollenrock.core.placement.CandidateOrigin;
import org.pollenrock.core.placement.CustomPlacementStrategy;
import org.pollenrock.core.placement.PlacementContext;

/** Compares every suitable server by expected cost, without homes, sampling or spill margin. */
final class NaiveStrategy implements CustomPlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    return context.eligible().all().stream()
        .map(server -> context.evaluate(server, CandidateOrigin.ELIGIBLE))
        .sorted(Comparator.comparingDouble(candidate -> candidate.cost().totalNanos()))
        .toList();
  }
}

package org.pollenrock.core.placement;

import java.util.List;

/** Baseline: any suitable server, with equal probability. */
public record RandomStrategy() implements PlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> servers = context.eligible().all();
    EligibleServer drawn = servers.get(context.random().nextInt(servers.size()));
    return List.of(context.evaluate(drawn, CandidateOrigin.ELIGIBLE));
  }
}

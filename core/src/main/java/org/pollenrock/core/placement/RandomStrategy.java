package org.pollenrock.core.placement;

import java.util.List;

/** Baseline strategy that chooses among the eligible servers with equal probability. */
public record RandomStrategy() implements PlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> servers = context.eligible().all();
    EligibleServer chosen = servers.get(context.random().nextInt(servers.size()));
    return List.of(context.evaluate(chosen, CandidateOrigin.ELIGIBLE));
  }
}

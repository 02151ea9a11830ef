package org.pollenrock.core.placement;

import java.util.List;

/** Baseline: the suitable server with the shortest prefill queue, whatever it has cached. */
public record LeastLoadedStrategy() implements PlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> servers = context.eligible().all();
    int start = context.random().nextInt(servers.size());
    EligibleServer best = servers.get(start);
    double least = loadScore(best, context);
    for (int step = 1; step < servers.size(); step++) {
      EligibleServer server = servers.get((start + step) % servers.size());
      double queued = loadScore(server, context);
      if (queued < least) {
        best = server;
        least = queued;
      }
    }
    return List.of(context.evaluate(best, CandidateOrigin.ELIGIBLE));
  }

  /** Seconds of prefill ahead; among empty queues the share of used slots decides. */
  private static double loadScore(EligibleServer server, PlacementContext context) {
    ServerLoad load = server.load();
    double queue = load.queueTokens(context.nowNanos()) / load.prefillTokensPerSecond();
    return queue + (double) load.running() / load.slots();
  }
}

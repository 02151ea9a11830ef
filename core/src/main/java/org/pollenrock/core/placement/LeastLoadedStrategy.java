package org.pollenrock.core.placement;

import java.util.List;

/**
 * Baseline strategy that chooses the eligible server with the shortest prefill queue, regardless of
 * what the server has cached.
 */
public record LeastLoadedStrategy() implements PlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> servers = context.eligible().all();
    int start = context.random().nextInt(servers.size());
    EligibleServer best = servers.get(start);
    double lowestScore = loadScore(best, context);
    for (int offset = 1; offset < servers.size(); offset++) {
      EligibleServer server = servers.get((start + offset) % servers.size());
      double score = loadScore(server, context);
      if (score < lowestScore) {
        best = server;
        lowestScore = score;
      }
    }
    return List.of(context.evaluate(best, CandidateOrigin.ELIGIBLE));
  }

  /**
   * Returns the seconds of queued prefill plus the share of used slots. The share decides between
   * servers with empty queues.
   */
  private static double loadScore(EligibleServer server, PlacementContext context) {
    ServerLoad load = server.load();
    double queueSeconds = load.queueTokens(context.nowNanos()) / load.prefillTokensPerSecond();
    return queueSeconds + (double) load.running() / load.slots();
  }
}

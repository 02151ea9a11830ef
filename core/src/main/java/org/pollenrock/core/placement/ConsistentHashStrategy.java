package org.pollenrock.core.placement;

import java.util.List;

/**
 * Baseline strategy that always chooses the server with the highest rendezvous weight for the
 * deepest prefix level, regardless of its load.
 */
public record ConsistentHashStrategy() implements PlacementStrategy {
  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> servers = context.eligible().all();
    long[] idHashes = servers.stream().mapToLong(server -> server.load().idHash()).toArray();
    int home = RendezvousHash.top(context.prefixKey(), idHashes, 1)[0];
    return List.of(context.evaluate(servers.get(home), CandidateOrigin.HOME));
  }
}

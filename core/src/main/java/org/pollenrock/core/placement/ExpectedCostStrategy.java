package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Chooses the lowest expected cost among the servers that are believed to hold part of the prefix,
 * the rendezvous homes of the prefix and two sampled servers.
 *
 * <p>Not all servers are compared: that bounds the time of a decision, and sampling keeps routers
 * that act on the same stale report from all choosing the same idle server.
 */
public record ExpectedCostStrategy() implements PlacementStrategy {
  /** Holders that are compared for each weights version. */
  private static final int MAX_HOLDERS = 8;

  /** Most servers that are all compared for an urgent request; bounds the time of a decision. */
  private static final int MAX_SERVERS_COMPARED_FOR_URGENT = 16;

  /** Sampled servers: the power of two choices. */
  private static final int SAMPLES = 2;

  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> chosen = new ArrayList<>();
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    CandidateCollector collector = new CandidateCollector(context, chosen, local, remote);
    addHomes(context, collector);
    addHolders(context, collector);
    addRemoteHome(context, collector);
    addSamples(context, collector);
    Comparator<Candidate> order = costOrder(context.prefixKey());
    local.sort(order);
    remote.sort(order);
    return merge(context, local, remote);
  }

  private static Comparator<Candidate> costOrder(BlockKey key) {
    return Comparator.<Candidate>comparingDouble(candidate -> candidate.cost().totalNanos())
        .thenComparing(
            candidate -> RendezvousHash.weight(key, seed(candidate)),
            Comparator.comparing((Long weight) -> weight ^ Long.MIN_VALUE).reversed())
        .thenComparing(Candidate::server)
        .thenComparing(Candidate::weights);
  }

  private static long seed(Candidate candidate) {
    return RendezvousHash.hash(candidate.server().value());
  }

  private static void addHomes(PlacementContext context, CandidateCollector collector) {
    PlacerState state = context.state();
    EligibleServers eligible = context.eligible();
    BlockKey key = context.levels().deepest();
    Optional<BlockKey> parent = context.levels().parent();
    if (context.isNewPrefix() && parent.filter(state.hotPrefixes()::hasColdTail).isPresent()) {
      int spread = state.config().coldHomes();
      int[] shared = RendezvousHash.top(parent.get(), eligible.localSeeds(), spread);
      long[] seeds = new long[shared.length];
      for (int at = 0; at < seeds.length; at++) {
        seeds[at] = eligible.localSeeds()[shared[at]];
      }
      int home = shared[RendezvousHash.top(key, seeds, 1)[0]];
      collector.addFirstHome(eligible.local().get(home));
      return;
    }
    int[] homes = RendezvousHash.top(key, eligible.localSeeds(), context.homeCount());
    collector.addFirstHome(eligible.local().get(homes[0]));
    for (int rank = 1; rank < homes.length; rank++) {
      collector.add(eligible.local().get(homes[rank]), CandidateOrigin.HOME);
    }
  }

  private static void addHolders(PlacementContext context, CandidateCollector collector) {
    for (WeightsVersion version : context.eligible().weightsVersions()) {
      List<BackendServerId> holders =
          context.cacheIndex().holders(context.lookup(version), MAX_HOLDERS, context.nowNanos());
      for (BackendServerId holder : holders) {
        for (EligibleServer server : context.eligible().forServer(holder)) {
          if (server.weights().equals(version)) {
            collector.add(server, CandidateOrigin.HOLDER);
          }
        }
      }
    }
  }

  private static void addRemoteHome(PlacementContext context, CandidateCollector collector) {
    EligibleServers eligible = context.eligible();
    for (int home : RendezvousHash.top(context.prefixKey(), eligible.remoteSeeds(), 1)) {
      collector.add(eligible.remote().get(home), CandidateOrigin.REMOTE);
    }
  }

  /** Urgent requests add little work, so a few servers can all be compared without a herd. */
  private static void addSamples(PlacementContext context, CandidateCollector collector) {
    List<EligibleServer> servers = context.eligible().local();
    boolean urgent = context.request().priority() == Priority.URGENT;
    if (urgent && servers.size() <= MAX_SERVERS_COMPARED_FOR_URGENT) {
      servers.forEach(server -> collector.add(server, CandidateOrigin.SAMPLED));
      return;
    }
    for (int sample = 0; sample < SAMPLES; sample++) {
      int drawn = context.random().nextInt(servers.size());
      collector.add(servers.get(drawn), CandidateOrigin.SAMPLED);
    }
  }

  /** Puts the better side first; a remote server needs a gain beyond the margin. */
  private static List<Candidate> merge(
      PlacementContext context, List<Candidate> local, List<Candidate> remote) {
    boolean spill = false;
    if (!remote.isEmpty() && !local.isEmpty()) {
      double gain = local.get(0).cost().totalNanos() - remote.get(0).cost().totalNanos();
      double margin = context.request().costWeights().spillMarginNanos();
      spill = context.state().spillState().shouldSpill(context.prefixKey(), gain, margin);
    }
    List<Candidate> ranked = new ArrayList<>(local.size() + remote.size());
    ranked.addAll(spill ? remote : local);
    ranked.addAll(spill ? local : remote);
    return ranked;
  }

  /**
   * Collects candidates without duplicates, local and remote ones apart.
   *
   * @param context the decision
   * @param added servers that were added
   * @param local candidates that need no spill margin
   * @param remote candidates in other data centres
   */
  private record CandidateCollector(
      PlacementContext context,
      List<EligibleServer> added,
      List<Candidate> local,
      List<Candidate> remote) {
    void addFirstHome(EligibleServer server) {
      added.add(server);
      local.add(context.evaluateFirstHome(server));
    }

    void add(EligibleServer server, CandidateOrigin origin) {
      for (EligibleServer known : added) {
        if (known == server) {
          return;
        }
      }
      added.add(server);
      boolean near = server.local() || context.eligible().remote().isEmpty();
      (near ? local : remote).add(context.evaluate(server, origin));
    }
  }
}

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
 * Chooses the server with the lowest expected cost among the servers that are believed to hold part
 * of the prefix, the rendezvous homes of the prefix and two sampled servers.
 *
 * <p>Not comparing all servers bounds the time of a decision. Sampling prevents routers that act on
 * the same stale report from all choosing the same idle server. Only for an urgent request are all
 * local servers compared, when there are few.
 */
public record ExpectedCostStrategy() implements PlacementStrategy {
  /** Maximum number of holders that are compared for each weights version. */
  private static final int MAX_HOLDERS = 8;

  /**
   * Maximum number of local servers up to which an urgent request compares all of them; bounds the
   * time of a decision.
   */
  private static final int MAX_SERVERS_COMPARED_FOR_URGENT = 16;

  /** Number of sampled servers; two suffice for load balancing (power of two choices). */
  private static final int SAMPLES = 2;

  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<EligibleServer> added = new ArrayList<>();
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    CandidateCollector collector = new CandidateCollector(context, added, local, remote);
    addHomes(context, collector);
    addHolders(context, collector);
    addRemoteHome(context, collector);
    addSamples(context, collector);
    Comparator<Candidate> order = costOrder(context.prefixKey());
    local.sort(order);
    remote.sort(order);
    return merge(context, local, remote);
  }

  /**
   * Returns the order by cost; ties are broken by rendezvous weight, server id and weights version.
   */
  private static Comparator<Candidate> costOrder(BlockKey key) {
    return Comparator.<Candidate>comparingDouble(candidate -> candidate.cost().totalNanos())
        .thenComparing(
            candidate -> RendezvousHash.weight(key, idHash(candidate)),
            Comparator.comparing((Long weight) -> weight ^ Long.MIN_VALUE).reversed())
        .thenComparing(Candidate::server)
        .thenComparing(Candidate::weights);
  }

  private static long idHash(Candidate candidate) {
    return RendezvousHash.hash(candidate.server().value());
  }

  /**
   * Adds the homes of the prefix. When nearly all new prefixes below the parent level are cached
   * nowhere, a new prefix gets a single home out of the few servers that its parent level selects.
   */
  private static void addHomes(PlacementContext context, CandidateCollector collector) {
    PlacerState state = context.state();
    EligibleServers eligible = context.eligible();
    BlockKey key = context.levels().deepest();
    Optional<BlockKey> parent = context.levels().parent();
    if (context.isNewPrefix() && parent.filter(state.hotPrefixTracker()::hasColdTail).isPresent()) {
      int coldHomes = state.config().coldHomes();
      int[] parentHomes = RendezvousHash.top(parent.get(), eligible.localIdHashes(), coldHomes);
      long[] parentHomeIdHashes = new long[parentHomes.length];
      for (int index = 0; index < parentHomeIdHashes.length; index++) {
        parentHomeIdHashes[index] = eligible.localIdHashes()[parentHomes[index]];
      }
      int home = parentHomes[RendezvousHash.top(key, parentHomeIdHashes, 1)[0]];
      collector.addFirstHome(eligible.local().get(home));
      return;
    }
    int[] homes = RendezvousHash.top(key, eligible.localIdHashes(), context.homeCount());
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
    for (int home : RendezvousHash.top(context.prefixKey(), eligible.remoteIdHashes(), 1)) {
      collector.add(eligible.remote().get(home), CandidateOrigin.REMOTE);
    }
  }

  /**
   * Adds sampled servers; for an urgent request, all local servers when there are few. Urgent
   * requests add little work, so routers that choose the same idle server for them do not overload
   * it.
   */
  private static void addSamples(PlacementContext context, CandidateCollector collector) {
    List<EligibleServer> servers = context.eligible().local();
    boolean urgent = context.request().priority() == Priority.URGENT;
    if (urgent && servers.size() <= MAX_SERVERS_COMPARED_FOR_URGENT) {
      servers.forEach(server -> collector.add(server, CandidateOrigin.SAMPLED));
      return;
    }
    for (int sample = 0; sample < SAMPLES; sample++) {
      int sampled = context.random().nextInt(servers.size());
      collector.add(servers.get(sampled), CandidateOrigin.SAMPLED);
    }
  }

  /**
   * Concatenates local and remote candidates. Remote candidates come first only when their gain
   * over the local ones justifies a spill.
   */
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
   * Collects candidates without duplicates, separated into local and remote ones.
   *
   * @param context context of the decision
   * @param added servers that were added so far
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
      boolean isLocal = server.local() || context.eligible().remote().isEmpty();
      (isLocal ? local : remote).add(context.evaluate(server, origin));
    }
  }
}

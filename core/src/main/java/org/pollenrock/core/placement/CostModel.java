package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.cache.ChainLookup;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Priority;

/** Expected time to first token of a request on a server, and what it costs other requests. */
final class CostModel {
  /** Engines that are compared as the source of an import. */
  private static final int MAX_IMPORT_SOURCES = 4;

  /**
   * A copy outside the homes is not found by routers that rely on rendezvous ranking, so its tokens
   * are expected to be computed once more.
   */
  private static final double OFF_HOME_COPY_FACTOR = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private final PlacerState state;

  CostModel(PlacerState state) {
    this.state = state;
  }

  /**
   * Describes a candidate.
   *
   * @param knownBlocks blocks that the server is believed to hold
   * @param likelyBlocks blocks that it is likely to hold, for the cost only
   */
  Candidate evaluate(
      PlacementContext context,
      EligibleServer server,
      CandidateOrigin origin,
      double knownBlocks,
      double likelyBlocks) {
    PlacementRequest request = context.request();
    Optional<KvImport> kvImport = kvImport(context, server, likelyBlocks);
    CostTerms cost = cost(context, server, origin, cachedTokens(request, likelyBlocks), kvImport);
    return new Candidate(
        server.server(),
        server.load().dataCentre(),
        server.load().incarnation(),
        server.weights(),
        origin,
        cachedTokens(request, knownBlocks),
        cost,
        kvImport);
  }

  private static double cachedTokens(PlacementRequest request, double blocks) {
    return Math.min(blocks * request.tokensPerBlock(), request.promptTokens() - 1);
  }

  private CostTerms cost(
      PlacementContext context,
      EligibleServer server,
      CandidateOrigin origin,
      double cachedTokens,
      Optional<KvImport> kvImport) {
    PlacementRequest request = context.request();
    ServerLoad load = server.load();
    double missing = request.promptTokens() - cachedTokens;
    double prefill = load.prefillNanos(missing);
    if (kvImport.isPresent()) {
      double imported = importedTokens(request, kvImport.get());
      prefill = load.prefillNanos(missing - imported) + kvImport.get().expectedNanos();
    }
    double queueTokens = load.queueTokens(context.nowNanos());
    double queue = load.prefillNanos(tokensAhead(request.priority(), load, queueTokens));
    double slot = slotNanos(request.priority(), load);
    double urgent = urgentNanos(request.priority(), load, queueTokens);
    double invested =
        origin == CandidateOrigin.HOME ? reusablePrefillNanos(context, server, cachedTokens) : 0;
    double eviction = load.prefillNanos(missing);
    if (isOffHomeCopy(context, origin, cachedTokens)) {
      eviction *= OFF_HOME_COPY_FACTOR;
    }
    double delay = delayNanos(context, load.prefillNanos(missing), load.prefillNanos(queueTokens));
    double ttft = prefill + queue + slot + server.roundTripNanos() + urgent;
    CostWeights weights = request.costWeights();
    double total =
        weights.ttftWeight() * (ttft + delay - invested)
            + weights.hitWeight() * (eviction - invested);
    return new CostTerms(
        missing,
        prefill,
        queue,
        slot,
        server.roundTripNanos(),
        urgent,
        eviction,
        delay,
        invested,
        total);
  }

  /**
   * Prefill work delays every request that arrives while the queue drains. Without this term, a
   * router under load trades cached tokens for a slightly shorter queue, which adds work and keeps
   * all queues long.
   */
  private double delayNanos(PlacementContext context, double prefillNanos, double queueNanos) {
    double perServer =
        state.arrivalRate().perSecond(context.nowNanos())
            * state.routerCount()
            / context.eligible().all().size();
    return prefillNanos * perServer * queueNanos / NANOS_PER_SECOND;
  }

  /** A holder of the shared levels only is no better a place for a copy than any other server. */
  private static boolean isOffHomeCopy(
      PlacementContext context, CandidateOrigin origin, double cachedTokens) {
    return switch (origin) {
      case SAMPLED, REMOTE -> true;
      case HOLDER -> cachedTokens <= context.sharedTokens();
      case HOME, ELIGIBLE -> false;
    };
  }

  /** Without this, all prefixes below a level would follow the first one to its server. */
  private double reusablePrefillNanos(
      PlacementContext context, EligibleServer server, double cachedTokens) {
    double lifetimeSeconds = state.cacheIndex().lifetimeNanos(server.server()) / NANOS_PER_SECOND;
    return server.load().prefillNanos(context.reusableTokens(cachedTokens, lifetimeSeconds));
  }

  static double importedTokens(PlacementRequest request, KvImport kvImport) {
    return (kvImport.endBlock() - kvImport.firstBlock()) * request.tokensPerBlock();
  }

  /**
   * Slots free up one after the other, each after the hold time divided by the slots. Above the
   * target utilisation the wait is counted in part, so that a hot prefix moves on to its other
   * homes before its first one is full.
   */
  private double slotNanos(Priority priority, ServerLoad load) {
    int reserve = priority == Priority.URGENT ? 0 : state.config().urgentReserveSlots();
    int usable = Math.max(1, load.slots() - reserve);
    int wanted = load.running() + 1;
    double target = usable * state.config().targetUtilisation();
    double ahead = Math.max(0, wanted - usable);
    double pressure = Math.min(1, Math.max(0, wanted - target) / Math.max(1, usable - target));
    return (ahead + pressure) * state.slotHoldNanos() / load.slots();
  }

  /** Engines honour priorities, so an urgent request waits for urgent ones and for one chunk. */
  private double tokensAhead(Priority priority, ServerLoad load, double queueTokens) {
    if (priority != Priority.URGENT) {
      return queueTokens;
    }
    return Math.min(queueTokens, load.urgentTokens() * state.routerCount());
  }

  private double urgentNanos(Priority priority, ServerLoad load, double queueTokens) {
    if (priority != Priority.URGENT) {
      return 0;
    }
    return load.prefillNanos(Math.min(queueTokens, state.config().prefillChunkTokens()));
  }

  private Optional<KvImport> kvImport(
      PlacementContext context, EligibleServer server, double ownBlocks) {
    Optional<KvTransfer> configured = state.config().kvTransfer();
    if (configured.isEmpty()) {
      return Optional.empty();
    }
    KvTransfer transfer = configured.get();
    ChainLookup lookup = context.lookup(server.weights());
    int first = (int) ownBlocks;
    KvImport best = null;
    for (BackendServerId source : importSources(context, transfer, lookup)) {
      int end = source.equals(server.server()) ? 0 : exportableBlocks(context, transfer, source, lookup);
      if (end > first && (best == null || end > best.endBlock())) {
        best = new KvImport(source, first, end, transfer.importNanos(end - first));
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    double computeNanos = server.load().prefillNanos(importedTokens(context.request(), best));
    return best.expectedNanos() < computeNanos ? Optional.of(best) : Optional.empty();
  }

  /** The store and the engines that used the deepest blocks most recently. */
  private List<BackendServerId> importSources(
      PlacementContext context, KvTransfer transfer, ChainLookup lookup) {
    List<BackendServerId> sources = new ArrayList<>();
    transfer.store().ifPresent(sources::add);
    if (transfer.fromEngines()) {
      sources.addAll(state.cacheIndex().holders(lookup, MAX_IMPORT_SOURCES, context.nowNanos()));
    }
    return sources;
  }

  /** Leading blocks that a source can export; a store has one endless incarnation. */
  private int exportableBlocks(
      PlacementContext context, KvTransfer transfer, BackendServerId source, ChainLookup lookup) {
    boolean store = transfer.store().filter(source::equals).isPresent();
    if (store) {
      return (int)
          state
              .cacheIndex()
              .expectedBlocks(lookup, source, Placer.STORE_INCARNATION, context.nowNanos());
    }
    Optional<ServerLoad> engine = state.loadTable().find(source);
    if (engine.isEmpty()) {
      return 0;
    }
    return (int)
        state
            .cacheIndex()
            .expectedBlocks(lookup, source, engine.get().incarnation(), context.nowNanos());
  }
}

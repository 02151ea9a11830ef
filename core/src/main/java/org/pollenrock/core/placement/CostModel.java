package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.cache.ChainLookup;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Priority;

/**
 * Estimates the cost of serving a request on a server: the expected time to first token of the
 * request and the time that other requests lose.
 */
final class CostModel {
  /** Maximum number of engines that are compared as sources of an import. */
  private static final int MAX_IMPORT_SOURCES = 4;

  /**
   * Factor on the eviction cost of a copy outside the homes of a prefix. Routers that rely on
   * rendezvous ranking do not find such a copy, so its tokens are expected to be computed a second
   * time.
   */
  private static final double OFF_HOME_COPY_FACTOR = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private final PlacerState state;

  CostModel(PlacerState state) {
    this.state = state;
  }

  /**
   * Estimates the cost of the request on a server.
   *
   * @param knownBlocks expected number of cached blocks according to the cache index; reported as
   *     the expected cached tokens of the candidate
   * @param estimatedBlocks number of cached blocks that the cost is based on; exceeds {@code
   *     knownBlocks} when peers may have used the server for the prefix
   */
  Candidate evaluate(
      PlacementContext context,
      EligibleServer server,
      CandidateOrigin origin,
      double knownBlocks,
      double estimatedBlocks) {
    PlacementRequest request = context.request();
    Optional<KvImport> kvImport = planImport(context, server, estimatedBlocks);
    CostTerms cost =
        costTerms(context, server, origin, cachedTokens(request, estimatedBlocks), kvImport);
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

  private CostTerms costTerms(
      PlacementContext context,
      EligibleServer server,
      CandidateOrigin origin,
      double cachedTokens,
      Optional<KvImport> kvImport) {
    PlacementRequest request = context.request();
    ServerLoad load = server.load();
    double missingTokens = request.promptTokens() - cachedTokens;
    double prefill = load.prefillNanos(missingTokens);
    if (kvImport.isPresent()) {
      double imported = importedTokens(request, kvImport.get());
      prefill = load.prefillNanos(missingTokens - imported) + kvImport.get().expectedNanos();
    }
    double queueTokens = load.queueTokens(context.nowNanos());
    double queue = load.prefillNanos(tokensAhead(request.priority(), load, queueTokens));
    double slot = slotNanos(request.priority(), load);
    double urgent = urgentNanos(request.priority(), load, queueTokens);
    double reusablePrefill =
        origin == CandidateOrigin.HOME ? reusablePrefillNanos(context, server, cachedTokens) : 0;
    double eviction = load.prefillNanos(missingTokens);
    if (isOffHomeCopy(context, origin, cachedTokens)) {
      eviction *= OFF_HOME_COPY_FACTOR;
    }
    double delay =
        delayNanos(context, load.prefillNanos(missingTokens), load.prefillNanos(queueTokens));
    double ttft = prefill + queue + slot + server.roundTripNanos() + urgent;
    CostWeights weights = request.costWeights();
    double total =
        weights.ttftWeight() * (ttft + delay - reusablePrefill)
            + weights.hitWeight() * (eviction - reusablePrefill);
    return new CostTerms(
        missingTokens,
        prefill,
        queue,
        slot,
        server.roundTripNanos(),
        urgent,
        eviction,
        delay,
        reusablePrefill,
        total);
  }

  /**
   * Returns the delay that the prefill of a request causes for the requests that arrive while the
   * queue drains. Without this term, a router under load gives up cached tokens for a slightly
   * shorter queue, which adds prefill work and keeps all queues long.
   */
  private double delayNanos(PlacementContext context, double prefillNanos, double queueNanos) {
    double arrivalsPerServer =
        state.arrivalRate().perSecond(context.nowNanos())
            * state.routerCount()
            / context.eligible().all().size();
    return prefillNanos * arrivalsPerServer * queueNanos / NANOS_PER_SECOND;
  }

  /**
   * Tests whether the request would create a copy of the prefix outside its homes. A holder of
   * nothing but the shared levels counts like any other server.
   */
  private static boolean isOffHomeCopy(
      PlacementContext context, CandidateOrigin origin, double cachedTokens) {
    return switch (origin) {
      case SAMPLED, REMOTE -> true;
      case HOLDER -> cachedTokens <= context.sharedTokens();
      case HOME, ELIGIBLE -> false;
    };
  }

  /**
   * Returns the prefill time of the tokens that later requests will reuse at a home. Without this
   * credit, all prefixes below a level would be placed on the server that the first of them was
   * sent to.
   */
  private double reusablePrefillNanos(
      PlacementContext context, EligibleServer server, double cachedTokens) {
    double lifetimeSeconds = state.cacheIndex().lifetimeNanos(server.server()) / NANOS_PER_SECOND;
    return server.load().prefillNanos(context.reusableTokens(cachedTokens, lifetimeSeconds));
  }

  /** Returns the number of prompt tokens in the imported blocks. */
  static double importedTokens(PlacementRequest request, KvImport kvImport) {
    return (kvImport.endBlock() - kvImport.firstBlock()) * request.tokensPerBlock();
  }

  /**
   * Returns the expected wait for a slot. Slots are released at intervals of the smoothed hold time
   * divided by the number of slots. Above the target utilisation part of an interval is counted
   * although a slot is free, so that requests of a hot prefix are sent to its other homes before
   * the first home is full. Only urgent requests use the reserved slots.
   */
  private double slotNanos(Priority priority, ServerLoad load) {
    int reserve = priority == Priority.URGENT ? 0 : state.config().urgentReserveSlots();
    int usable = Math.max(1, load.slots() - reserve);
    int requiredSlots = load.running() + 1;
    double target = usable * state.config().targetUtilisation();
    double requestsAhead = Math.max(0, requiredSlots - usable);
    double partialWait =
        Math.min(1, Math.max(0, requiredSlots - target) / Math.max(1, usable - target));
    return (requestsAhead + partialWait) * state.slotHoldNanos() / load.slots();
  }

  /**
   * Returns the queued prefill tokens that are processed before the request. Engines schedule by
   * priority, so an urgent request waits for other urgent requests only (and for one prefill chunk,
   * see {@link #urgentNanos}). The urgent tokens of other routers are estimated from this router's
   * own.
   */
  private double tokensAhead(Priority priority, ServerLoad load, double queueTokens) {
    if (priority != Priority.URGENT) {
      return queueTokens;
    }
    return Math.min(queueTokens, load.urgentTokens() * state.routerCount());
  }

  /** Returns the wait of an urgent request for the prefill chunk that the server is processing. */
  private double urgentNanos(Priority priority, ServerLoad load, double queueTokens) {
    if (priority != Priority.URGENT) {
      return 0;
    }
    return load.prefillNanos(Math.min(queueTokens, state.config().prefillChunkTokens()));
  }

  /**
   * Returns the longest import of blocks that the server lacks, or empty when computing the blocks
   * is expected to be at least as fast.
   */
  private Optional<KvImport> planImport(
      PlacementContext context, EligibleServer server, double cachedBlocks) {
    Optional<KvTransfer> configured = state.config().kvTransfer();
    if (configured.isEmpty()) {
      return Optional.empty();
    }
    KvTransfer transfer = configured.get();
    ChainLookup lookup = context.lookup(server.weights());
    int first = (int) cachedBlocks;
    KvImport best = null;
    for (BackendServerId source : importSources(context, transfer, lookup)) {
      int end =
          source.equals(server.server()) ? 0 : exportableBlocks(context, transfer, source, lookup);
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

  /**
   * Returns the possible sources of an import: the KV store and the engines that used the deepest
   * blocks most recently.
   */
  private List<BackendServerId> importSources(
      PlacementContext context, KvTransfer transfer, ChainLookup lookup) {
    List<BackendServerId> sources = new ArrayList<>();
    transfer.store().ifPresent(sources::add);
    if (transfer.fromEngines()) {
      sources.addAll(state.cacheIndex().holders(lookup, MAX_IMPORT_SOURCES, context.nowNanos()));
    }
    return sources;
  }

  /**
   * Returns the number of leading blocks that a source is expected to hold and can export. A KV
   * store has a single incarnation that never ends.
   */
  private int exportableBlocks(
      PlacementContext context, KvTransfer transfer, BackendServerId source, ChainLookup lookup) {
    boolean isStore = transfer.store().filter(source::equals).isPresent();
    if (isStore) {
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

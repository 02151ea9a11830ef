package org.pollenrock.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.pollenrock.core.cache.CacheEvent;
import org.pollenrock.core.cache.CacheIndex;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PrefixChain;

/**
 * Chooses a backend server for each model request and learns from what becomes of it.
 *
 * <p>The caller reports every chosen placement that it sends with {@link #recordSent}, then {@link
 * #recordFirstToken} when the first token arrives, and always one of {@link #recordCompletion} and
 * {@link #recordFailure}. Not thread-safe; times are monotonic nanoseconds that never decrease from
 * call to call.
 */
public final class Placer {
  /** Incarnation of a KV store in the cache index: a store has only one life. */
  static final Incarnation STORE_INCARNATION = new Incarnation(0);

  /** Part of a block that may be missing from a cached-token count because tokens are estimated. */
  private static final double BLOCK_ROUNDING_TOLERANCE = 0.01;

  private final PlacerState state;
  private final PlacementStrategy strategy;
  private final Map<PlacementId, InFlightRequest> inFlight = new HashMap<>();
  private final Optional<BackendServerId> store;
  private long lastPlacementId;

  /**
   * Creates a placer that knows no server.
   *
   * @param config parameters
   * @param strategy how to choose
   * @param random randomness of this router; each router has its own seed
   */
  public Placer(PlacerConfig config, PlacementStrategy strategy, RandomGenerator random) {
    this.strategy = Objects.requireNonNull(strategy, "strategy");
    state = new PlacerState(config, Objects.requireNonNull(random, "random"));
    store = config.kvTransfer().flatMap(KvTransfer::store);
    store.ifPresent(name -> state.cacheIndex().report(name, STORE_INCARNATION, 1, 0));
  }

  /**
   * Chooses a server.
   *
   * @param request the request
   * @param nowNanos the time
   * @return the choice with the incarnation and weights version that it relied on, or why there is
   *     none
   */
  public PlacementResult place(PlacementRequest request, long nowNanos) {
    EligibleServers eligible = state.loadTable().eligible(request);
    if (eligible.all().isEmpty()) {
      return new PlacementResult.NoServer(state.loadTable().noServerReason(request));
    }
    state.arrivalRate().observe(nowNanos);
    PlacementContext context = new PlacementContext(request, nowNanos, eligible, state);
    boolean newPrefix = context.isNewPrefix();
    List<Candidate> ranked = strategy.rank(context);
    Candidate best = ranked.get(0);
    for (int level = 0; level < context.levels().count(); level++) {
      state.hotPrefixes().observe(context.levels().key(level), nowNanos);
    }
    return new PlacementResult.Chosen(
        new PlacementId(++lastPlacementId),
        best.server(),
        best.incarnation(),
        best.weights(),
        context.lookup(best.weights()).chain(),
        request,
        (int) best.expectedCachedTokens(),
        newPrefix,
        context.homeWithUnknownCache().filter(best.server()::equals).isPresent(),
        best.kvImport(),
        ranked);
  }

  /**
   * Notes that a request was sent to the chosen server.
   *
   * @param chosen the placement
   * @param nowNanos the time
   */
  public void recordSent(PlacementResult.Chosen chosen, long nowNanos) {
    double missing =
        chosen.request().promptTokens() - chosen.expectedCachedTokens() - importedTokens(chosen);
    InFlightRequest request = new InFlightRequest(chosen, missing, nowNanos);
    inFlight.put(chosen.id(), request);
    Optional<ServerLoad> load = state.loadTable().find(chosen.server());
    if (load.isEmpty() || !load.get().incarnation().equals(chosen.incarnation())) {
      return;
    }
    load.get().recordSent(request);
    state.cacheIndex().sent(chosen.server(), chosen.incarnation(), chosen.chain(), nowNanos);
  }

  private static double importedTokens(PlacementResult.Chosen chosen) {
    return chosen
        .kvImport()
        .map(blocks -> CostModel.importedTokens(chosen.request(), blocks))
        .orElse(0.0);
  }

  /**
   * Notes the first token of a response.
   *
   * @param id the placement
   * @param incarnation the incarnation that the response names
   * @param weights the weights version that the response names
   * @param cachedTokens prompt tokens that the response says were cached
   * @param nowNanos the time
   * @return true when the response has the identity that the placement relied on; otherwise, and
   *     for an unknown placement, nothing is learned about the cache from it and it must not be
   *     relayed
   */
  public boolean recordFirstToken(
      PlacementId id,
      Incarnation incarnation,
      WeightsVersion weights,
      int cachedTokens,
      long nowNanos) {
    InFlightRequest request = inFlight.get(id);
    if (request == null) {
      return false;
    }
    PlacementResult.Chosen chosen = request.chosen();
    observeIncarnation(chosen.server(), incarnation);
    recordAnswer(request, nowNanos);
    if (!incarnation.equals(chosen.incarnation()) || !weights.equals(chosen.weights())) {
      state.cacheIndex().failed(chosen.server(), chosen.incarnation(), chosen.chain());
      return false;
    }
    int cachedBlocks = cachedBlocks(chosen, cachedTokens);
    state.cacheIndex().observed(chosen.server(), incarnation, chosen.chain(), cachedBlocks, nowNanos);
    boolean atHome = chosen.candidates().get(0).origin() == CandidateOrigin.HOME;
    if (chosen.homeCacheUnknown() && chosen.chain().length() > 0) {
      state.homePrior().observe((double) cachedBlocks / chosen.chain().length());
    }
    if (chosen.newPrefix() && atHome) {
      recordNewPrefixOutcome(chosen.request(), cachedBlocks);
    }
    return true;
  }

  private void recordAnswer(InFlightRequest request, long nowNanos) {
    if (request.isAnswered()) {
      return;
    }
    state.loadTable().find(request.chosen().server()).ifPresent(load -> load.recordAnswer(request));
    request.markAnswered();
  }

  private static int cachedBlocks(PlacementResult.Chosen chosen, int cachedTokens) {
    double tokensPerBlock = chosen.request().tokensPerBlock();
    if (tokensPerBlock == 0) {
      return 0;
    }
    int blocks = (int) Math.floor(cachedTokens / tokensPerBlock + BLOCK_ROUNDING_TOLERANCE);
    return Math.max(0, Math.min(chosen.chain().length(), blocks));
  }

  /** Only a home tells: elsewhere a prefix is missing even when other routers use it. */
  private void recordNewPrefixOutcome(PlacementRequest request, int cachedBlocks) {
    List<Integer> ends = request.levelEnds();
    Optional<BlockKey> parent = PrefixLevelKeys.of(request).parent();
    parent.ifPresent(
        level -> state.hotPrefixes().recordOutcome(level, cachedBlocks >= ends.get(ends.size() - 1)));
  }

  /**
   * Notes that a response ended and everything of it was received.
   *
   * @param id the placement
   * @param nowNanos the time
   */
  public void recordCompletion(PlacementId id, long nowNanos) {
    InFlightRequest request = removeInFlight(id);
    if (request != null) {
      state.recordSlotHold(nowNanos - request.sentNanos());
    }
  }

  /**
   * Notes that a request failed, was refused by the server or was cancelled.
   *
   * @param id the placement
   */
  public void recordFailure(PlacementId id) {
    InFlightRequest request = removeInFlight(id);
    if (request != null && !request.isAnswered()) {
      PlacementResult.Chosen chosen = request.chosen();
      state.cacheIndex().failed(chosen.server(), chosen.incarnation(), chosen.chain());
    }
  }

  private InFlightRequest removeInFlight(PlacementId id) {
    InFlightRequest request = inFlight.remove(id);
    if (request != null) {
      state.loadTable().find(request.chosen().server()).ifPresent(load -> load.recordEnd(request));
    }
    return request;
  }

  /**
   * Takes a server's report.
   *
   * @param report the report
   * @param nowNanos time of arrival
   * @return false when it is outdated and was ignored
   */
  public boolean applyReport(ServerReport report, long nowNanos) {
    BackendServerId server = report.server();
    Optional<ServerLoad> known = state.loadTable().find(server);
    List<ServedModel> before = known.map(ServerLoad::models).orElse(List.of());
    if (!state.loadTable().applyReport(report, nowNanos)) {
      return false;
    }
    ReportedLoad load = report.load();
    state
        .cacheIndex()
        .report(
            server, report.incarnation(), load.cacheCapacityBlocks(), load.storedBlocksPerSecond());
    if (!before.equals(report.models())) {
      for (ServedModel model : before) {
        state.cacheIndex().retainWeights(server, model.model(), versions(report, model.model()));
      }
    }
    return true;
  }

  private static Set<WeightsVersion> versions(ServerReport report, ModelId model) {
    return report.models().stream()
        .filter(served -> served.model().equals(model))
        .map(ServedModel::weights)
        .collect(Collectors.toSet());
  }

  /**
   * Notes the incarnation that a refusal, response or connection of a server named.
   *
   * @param server the server
   * @param incarnation the incarnation
   * @return false when a newer one is known, so that the message is outdated
   */
  public boolean observeIncarnation(BackendServerId server, Incarnation incarnation) {
    return state.loadTable().observeIncarnation(server, incarnation) && state.cacheIndex().accept(server, incarnation);
  }

  /**
   * Notes that a server is leaving; final for this incarnation.
   *
   * @param server the server
   * @param incarnation the life that is ending
   */
  public void markServerLeaving(BackendServerId server, Incarnation incarnation) {
    state.loadTable().markLeaving(server, incarnation);
  }

  /**
   * Drops a server that is gone.
   *
   * @param server the server
   */
  public void removeServer(BackendServerId server) {
    state.loadTable().remove(server);
    state.cacheIndex().forget(server);
  }

  /**
   * Applies cache events of a server.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param events the events
   * @param nowNanos the time
   * @return false when a newer incarnation is known and the events were ignored
   */
  public boolean applyCacheEvents(
      BackendServerId server,
      Incarnation incarnation,
      Collection<CacheEvent> events,
      long nowNanos) {
    return observeIncarnation(server, incarnation)
        && state.cacheIndex().apply(server, incarnation, events, nowNanos);
  }

  /**
   * Notes that every event that a server shows at present has been applied.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param nowNanos the time
   */
  public void markCacheEventsCaughtUp(
      BackendServerId server, Incarnation incarnation, long nowNanos) {
    state.cacheIndex().eventsFollowed(server, incarnation, nowNanos);
  }

  /**
   * Replaces the event-based knowledge of a server by a digest of its cache.
   *
   * @param server the server
   * @param incarnation the incarnation that the digest belongs to
   * @param sequence last event that the digest includes
   * @param held every block that the server holds
   * @param nowNanos the time
   * @return false when the digest is outdated and was ignored
   */
  public boolean applyCacheDigest(
      BackendServerId server,
      Incarnation incarnation,
      long sequence,
      Collection<BlockKey> held,
      long nowNanos) {
    return observeIncarnation(server, incarnation)
        && state.cacheIndex().applyDigest(server, incarnation, sequence, held, nowNanos);
  }

  /**
   * Notes that the KV store holds all blocks of a chain; without a store this has no effect.
   *
   * @param chain the blocks
   * @param nowNanos the time
   */
  public void recordStoredChain(PrefixChain chain, long nowNanos) {
    store.ifPresent(
        name -> state.cacheIndex().observed(name, STORE_INCARNATION, chain, chain.length(), nowNanos));
  }

  /**
   * Sets the number of routers that share the traffic; rates of this router are multiplied by it.
   *
   * @param count routers of this data centre, this one included
   */
  public void setRouterCount(int count) {
    state.setRouterCount(count);
  }

  /**
   * The hottest prefix levels of this router, for its peers.
   *
   * @param limit most levels
   * @param nowNanos the time
   * @return the levels, highest rate first
   */
  public List<HotPrefix> hotPrefixes(int limit, long nowNanos) {
    return state.hotPrefixes().hottest(limit, nowNanos);
  }

  /**
   * Takes the hottest prefix levels of a peer, so that routers agree on the number of homes.
   *
   * @param peer the peer
   * @param hot its levels; they replace what it told before
   */
  public void updatePeerHotPrefixes(InstanceId peer, List<HotPrefix> hot) {
    state.hotPrefixes().updatePeer(peer, hot);
  }

  /**
   * Drops what a peer told.
   *
   * @param peer the peer
   */
  public void removePeer(InstanceId peer) {
    state.hotPrefixes().removePeer(peer);
  }

  /**
   * Load of a server, for the operator's view.
   *
   * @param server the server
   * @return its load, empty when it is not known
   */
  public Optional<ServerLoad> load(BackendServerId server) {
    return state.loadTable().find(server);
  }

  /**
   * Beliefs about the servers' caches, for the operator's view.
   *
   * @return the index
   */
  public CacheIndex cacheIndex() {
    return state.cacheIndex();
  }

  /**
   * Own requests that have not ended.
   *
   * @return the count
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}

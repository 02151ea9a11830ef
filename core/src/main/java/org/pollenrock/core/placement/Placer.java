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
 * Chooses a backend server for each model request and updates its load and cache estimates from the
 * progress of the requests.
 *
 * <p>For each placement that the caller sends to the chosen server, it calls {@link #recordSent},
 * then {@link #recordFirstToken} when the first token arrives, and finally exactly one of {@link
 * #recordCompletion} and {@link #recordFailure}.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds that never decrease from call to call.
 */
public final class Placer {
  /** Incarnation of the KV store in the cache index. A store has a single incarnation. */
  static final Incarnation STORE_INCARNATION = new Incarnation(0);

  /**
   * Part of a block that may be missing from a reported number of cached tokens, because the number
   * of tokens in a block is an estimate.
   */
  private static final double BLOCK_ROUNDING_TOLERANCE = 0.01;

  private final PlacerState state;
  private final PlacementStrategy strategy;
  private final Map<PlacementId, InFlightRequest> inFlight = new HashMap<>();
  private final Optional<BackendServerId> store;
  private long lastPlacementId;

  /**
   * Creates a placer without servers.
   *
   * @param config parameters of the placer
   * @param strategy strategy that ranks the eligible servers
   * @param random random generator of this router; each router has its own seed
   */
  public Placer(PlacerConfig config, PlacementStrategy strategy, RandomGenerator random) {
    this.strategy = Objects.requireNonNull(strategy, "strategy");
    state = new PlacerState(config, Objects.requireNonNull(random, "random"));
    store = config.kvTransfer().flatMap(KvTransfer::store);
    store.ifPresent(name -> state.cacheIndex().applyReport(name, STORE_INCARNATION, 1, 0));
  }

  /**
   * Chooses a server for a request.
   *
   * @param request the request
   * @param nowNanos the current time
   * @return the chosen server with the incarnation and weights version that the choice relied on,
   *     or the reason why no server is eligible
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
      state.hotPrefixTracker().observe(context.levels().key(level), nowNanos);
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
   * Records that a request was sent to the chosen server.
   *
   * @param chosen the placement
   * @param nowNanos the current time
   */
  public void recordSent(PlacementResult.Chosen chosen, long nowNanos) {
    double missingTokens =
        chosen.request().promptTokens() - chosen.expectedCachedTokens() - importedTokens(chosen);
    InFlightRequest request = new InFlightRequest(chosen, missingTokens, nowNanos);
    inFlight.put(chosen.id(), request);
    Optional<ServerLoad> load = state.loadTable().find(chosen.server());
    if (load.isEmpty() || !load.get().incarnation().equals(chosen.incarnation())) {
      return;
    }
    load.get().recordSent(request);
    state.cacheIndex().recordSent(chosen.server(), chosen.incarnation(), chosen.chain(), nowNanos);
  }

  private static double importedTokens(PlacementResult.Chosen chosen) {
    return chosen
        .kvImport()
        .map(blocks -> CostModel.importedTokens(chosen.request(), blocks))
        .orElse(0.0);
  }

  /**
   * Records the first token of a response.
   *
   * @param id id of the placement
   * @param incarnation the incarnation that the response names
   * @param weights the weights version that the response names
   * @param cachedTokens number of cached prompt tokens that the response reports
   * @param nowNanos the current time
   * @return true when the response names the incarnation and weights version that the placement
   *     relied on; otherwise, and for an unknown placement, no block is recorded as cached and the
   *     response must not be relayed
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
      state.cacheIndex().recordFailure(chosen.server(), chosen.incarnation(), chosen.chain());
      return false;
    }
    int cachedBlocks = cachedBlocks(chosen, cachedTokens);
    state
        .cacheIndex()
        .recordCachedChain(chosen.server(), incarnation, chosen.chain(), cachedBlocks, nowNanos);
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

  /**
   * Records whether a new prefix was cached at its home. Called for responses of homes only: any
   * other server may lack a prefix although other routers use it.
   */
  private void recordNewPrefixOutcome(PlacementRequest request, int cachedBlocks) {
    List<Integer> levelEnds = request.levelEnds();
    Optional<BlockKey> parent = PrefixLevelKeys.of(request).parent();
    parent.ifPresent(
        level ->
            state
                .hotPrefixTracker()
                .recordOutcome(level, cachedBlocks >= levelEnds.get(levelEnds.size() - 1)));
  }

  /**
   * Records that a response was received completely.
   *
   * @param id id of the placement
   * @param nowNanos the current time
   */
  public void recordCompletion(PlacementId id, long nowNanos) {
    InFlightRequest request = removeInFlight(id);
    if (request != null) {
      state.recordSlotHold(nowNanos - request.sentNanos());
    }
  }

  /**
   * Records that a request failed, was refused by the server or was cancelled.
   *
   * @param id id of the placement
   */
  public void recordFailure(PlacementId id) {
    InFlightRequest request = removeInFlight(id);
    if (request != null && !request.isAnswered()) {
      PlacementResult.Chosen chosen = request.chosen();
      state.cacheIndex().recordFailure(chosen.server(), chosen.incarnation(), chosen.chain());
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
   * Applies a report of a server.
   *
   * @param report the report
   * @param nowNanos time at which the report arrived
   * @return false when the report is outdated and was ignored
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
        .applyReport(
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
   * Records the incarnation that a refusal, response or connection of a server named.
   *
   * @param server the server
   * @param incarnation the incarnation that was named
   * @return false when a newer incarnation is known, so that the message is outdated
   */
  public boolean observeIncarnation(BackendServerId server, Incarnation incarnation) {
    return state.loadTable().observeIncarnation(server, incarnation)
        && state.cacheIndex().observeIncarnation(server, incarnation);
  }

  /**
   * Records that a server is leaving. Its incarnation gets no requests any more.
   *
   * @param server the server
   * @param incarnation the incarnation that is leaving
   */
  public void markServerLeaving(BackendServerId server, Incarnation incarnation) {
    state.loadTable().markLeaving(server, incarnation);
  }

  /**
   * Removes a server, with its load and cache entries.
   *
   * @param server the server
   */
  public void removeServer(BackendServerId server) {
    state.loadTable().remove(server);
    state.cacheIndex().removeServer(server);
  }

  /**
   * Applies cache events of a server.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param events the events
   * @param nowNanos the current time
   * @return false when a newer incarnation is known and the events were ignored
   */
  public boolean applyCacheEvents(
      BackendServerId server,
      Incarnation incarnation,
      Collection<CacheEvent> events,
      long nowNanos) {
    return observeIncarnation(server, incarnation)
        && state.cacheIndex().applyEvents(server, incarnation, events, nowNanos);
  }

  /**
   * Records that all cache events that a server currently offers have been applied.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param nowNanos the current time
   */
  public void markCacheEventsCaughtUp(
      BackendServerId server, Incarnation incarnation, long nowNanos) {
    state.cacheIndex().markEventsCaughtUp(server, incarnation, nowNanos);
  }

  /**
   * Replaces the cache entries that were derived from events of a server by a digest of its cache.
   *
   * @param server the server
   * @param incarnation the incarnation that the digest belongs to
   * @param sequence sequence number of the last event that the digest includes
   * @param held all blocks that the server holds
   * @param nowNanos the current time
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
   * Records that the KV store holds all blocks of a chain. Has no effect when no store is
   * configured.
   *
   * @param chain keys of the blocks
   * @param nowNanos the current time
   */
  public void recordStoredChain(PrefixChain chain, long nowNanos) {
    store.ifPresent(
        name ->
            state
                .cacheIndex()
                .recordCachedChain(name, STORE_INCARNATION, chain, chain.length(), nowNanos));
  }

  /**
   * Sets the number of routers that share the traffic. Rates that this router measures are
   * multiplied by this number.
   *
   * @param count number of routers in this data centre, including this one
   */
  public void setRouterCount(int count) {
    state.setRouterCount(count);
  }

  /**
   * Returns the prefix levels with the highest request rates at this router, to be sent to its
   * peers.
   *
   * @param limit maximum number of levels
   * @param nowNanos the current time
   * @return the levels, highest rate first
   */
  public List<HotPrefix> hotPrefixes(int limit, long nowNanos) {
    return state.hotPrefixTracker().hottest(limit, nowNanos);
  }

  /**
   * Replaces the hottest prefix levels that a peer reported. They let routers agree on the number
   * of homes of a prefix.
   *
   * @param peer the peer
   * @param hot the hottest levels of the peer
   */
  public void updatePeerHotPrefixes(InstanceId peer, List<HotPrefix> hot) {
    state.hotPrefixTracker().updatePeer(peer, hot);
  }

  /**
   * Drops the rates that a peer reported.
   *
   * @param peer the peer
   */
  public void removePeer(InstanceId peer) {
    state.hotPrefixTracker().removePeer(peer);
  }

  /**
   * Returns the load of a server.
   *
   * @param server the server
   * @return the load, empty when the server is not known
   */
  public Optional<ServerLoad> load(BackendServerId server) {
    return state.loadTable().find(server);
  }

  /**
   * Returns the index of the blocks that servers are believed to have cached.
   *
   * @return the cache index
   */
  public CacheIndex cacheIndex() {
    return state.cacheIndex();
  }

  /**
   * Returns the number of requests that this router has sent and that have not ended.
   *
   * @return number of requests
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}

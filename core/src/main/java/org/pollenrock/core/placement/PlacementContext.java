package org.pollenrock.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.pollenrock.core.cache.CacheIndex;
import org.pollenrock.core.cache.ChainLookup;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/**
 * Input of a placement strategy for one decision: the request, the eligible servers and the state
 * of the placer. Valid during that decision only.
 */
public final class PlacementContext {
  /**
   * Request rate over all routers below which a prefix counts as new. A single request adds 0.35
   * requests per second and decays to this rate within 4 to 8 seconds, about the lifetime of a
   * cached block.
   */
  private static final double NEW_PREFIX_MAX_RATE_PER_SECOND = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Share of the prompt's blocks that a home must be known to have cached; below this share its
   * cache content counts as unknown.
   */
  private static final double MIN_KNOWN_SHARE = 0.5;

  private final PlacementRequest request;
  private final long nowNanos;
  private final EligibleServers eligible;
  private final PlacerState state;
  private final PrefixLevelKeys levels;
  private final double sharedTokens;

  /** Number of prompt tokens in all levels, down to the end of the deepest one. */
  private final double prefixTokens;

  private final double parentRate;
  private final double deepestLevelRate;
  private final int homeCount;
  private final Map<WeightsVersion, ChainLookup> lookups = new HashMap<>(4);
  private BackendServerId homeWithUnknownCache;

  PlacementContext(
      PlacementRequest request, long nowNanos, EligibleServers eligible, PlacerState state) {
    this.request = request;
    this.nowNanos = nowNanos;
    this.eligible = eligible;
    this.state = state;
    this.levels = PrefixLevelKeys.of(request);
    List<Integer> levelEnds = request.levelEnds();
    sharedTokens = tokens(levelEnds.size() < 2 ? 0 : levelEnds.get(levelEnds.size() - 2));
    prefixTokens = tokens(levelEnds.isEmpty() ? 0 : levelEnds.get(levelEnds.size() - 1));
    parentRate = levels.parent().map(this::rate).orElse(0.0);
    deepestLevelRate = rate(levels.deepest());
    homeCount = computeHomeCount();
  }

  private double tokens(int blocks) {
    return blocks * request.tokensPerBlock();
  }

  private double rate(BlockKey level) {
    return state.hotPrefixTracker().totalRate(level, state.routerCount(), nowNanos);
  }

  private int computeHomeCount() {
    int limit = Math.min(state.config().maximumHomes(), eligible.local().size());
    ServerLoad anyLoad = eligible.local().get(0).load();
    double slotSeconds = state.slotHoldNanos() / anyLoad.slots() / NANOS_PER_SECOND;
    return HotPrefixTracker.homeCount(
        deepestLevelRate, slotSeconds, state.config().targetUtilisation(), limit);
  }

  /**
   * Returns the request to place.
   *
   * @return the request
   */
  public PlacementRequest request() {
    return request;
  }

  /**
   * Returns the time of the decision.
   *
   * @return monotonic nanoseconds
   */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Returns the servers that can serve the request.
   *
   * @return the servers, at least one
   */
  public EligibleServers eligible() {
    return eligible;
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
   * Returns the random generator of this router.
   *
   * @return the generator
   */
  public RandomGenerator random() {
    return state.random();
  }

  /**
   * Returns the key of the deepest prefix level for server ranking. All routers compute the same
   * key.
   *
   * @return the key
   */
  public BlockKey prefixKey() {
    return levels.deepest();
  }

  /**
   * Looks up the prompt's blocks in the cache index under one weights version.
   *
   * @param weights the weights version
   * @return the lookup; computed once for each version
   */
  public ChainLookup lookup(WeightsVersion weights) {
    ChainLookup found = lookups.get(weights);
    if (found == null) {
      CacheScope scope =
          new CacheScope(request.customer(), request.model(), request.adapter(), weights);
      PrefixFingerprinter fingerprinter = state.fingerprinter();
      found = cacheIndex().lookup(fingerprinter.deriveChain(request.blocks(), scope));
      lookups.put(weights, found);
    }
    return found;
  }

  /**
   * Evaluates a server as a candidate: estimates its cost, and plans an import of blocks when that
   * is faster than computing them.
   *
   * @param server the server
   * @param origin why the server is considered
   * @return the candidate
   */
  public Candidate evaluate(EligibleServer server, CandidateOrigin origin) {
    double known = expectedBlocks(server);
    return state.costModel().evaluate(this, server, origin, known, known);
  }

  /**
   * Evaluates the first home of the prefix. When its cache content is unknown, part of the missing
   * blocks is assumed to be cached, because peers may have sent the prefix there already.
   */
  Candidate evaluateFirstHome(EligibleServer server) {
    double known = expectedBlocks(server);
    int length = lookup(server.weights()).chain().length();
    boolean contentUnknown = known < MIN_KNOWN_SHARE * length;
    if (!contentUnknown) {
      return state.costModel().evaluate(this, server, CandidateOrigin.HOME, known, known);
    }
    homeWithUnknownCache = server.server();
    double estimated = known + state.homePrior().share() * (length - known);
    return state.costModel().evaluate(this, server, CandidateOrigin.HOME, known, estimated);
  }

  /** Returns the first home when its cache content is unknown to this router. */
  Optional<BackendServerId> homeWithUnknownCache() {
    return Optional.ofNullable(homeWithUnknownCache);
  }

  private double expectedBlocks(EligibleServer server) {
    return cacheIndex()
        .expectedBlocks(
            lookup(server.weights()), server.server(), server.load().incarnation(), nowNanos);
  }

  PlacerState state() {
    return state;
  }

  PrefixLevelKeys levels() {
    return levels;
  }

  /** Returns the number of homes of the deepest prefix level. */
  int homeCount() {
    return homeCount;
  }

  /** Returns the number of prompt tokens in the levels above the deepest one. */
  double sharedTokens() {
    return sharedTokens;
  }

  /**
   * Returns the number of prompt tokens that a home lacks and that later requests will reuse there;
   * their prefill must not count against the home. The shared levels count in proportion to the
   * requests for the parent level that each local server receives within the lifetime of a block,
   * up to one request. The deepest level counts, by the same rule, only when it is hot enough for
   * several homes.
   */
  double reusableTokens(double cachedTokens, double lifetimeSeconds) {
    double requestsPerServer = parentRate * lifetimeSeconds / eligible.local().size();
    double reusable = Math.max(0, sharedTokens - cachedTokens) * Math.min(1, requestsPerServer);
    if (homeCount > 1) {
      double missingDeepestTokens =
          Math.max(0, prefixTokens - Math.max(cachedTokens, sharedTokens));
      reusable +=
          missingDeepestTokens * Math.min(1, deepestLevelRate * lifetimeSeconds / homeCount);
    }
    return reusable;
  }

  /**
   * Tests whether the deepest prefix level is new to this router: its estimated request rate is
   * below {@link #NEW_PREFIX_MAX_RATE_PER_SECOND}.
   */
  boolean isNewPrefix() {
    return deepestLevelRate < NEW_PREFIX_MAX_RATE_PER_SECOND;
  }
}

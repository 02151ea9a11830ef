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

/** What a strategy may use for one decision; valid during that decision only. */
public final class PlacementContext {
  /**
   * Requests per second of all routers under which a prefix counts as new. One request counts as
   * 0.35 per second and decays to this within 4 to 8 seconds, about a block lifetime.
   */
  private static final double NEW_PREFIX_MAX_RATE_PER_SECOND = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Share of a prompt under which the content of a home counts as unknown. */
  private static final double MIN_KNOWN_SHARE = 0.5;

  private final PlacementRequest request;
  private final long nowNanos;
  private final EligibleServers eligible;
  private final PlacerState state;
  private final PrefixLevelKeys levels;
  private final double sharedTokens;
  private final double levelTokens;
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
    List<Integer> ends = request.levelEnds();
    sharedTokens = tokens(ends.size() < 2 ? 0 : ends.get(ends.size() - 2));
    levelTokens = tokens(ends.isEmpty() ? 0 : ends.get(ends.size() - 1));
    parentRate = levels.parent().map(this::rate).orElse(0.0);
    deepestLevelRate = rate(levels.deepest());
    homeCount = computeHomeCount();
  }

  private double tokens(int blocks) {
    return blocks * request.tokensPerBlock();
  }

  private double rate(BlockKey level) {
    return state.hotPrefixes().totalRate(level, state.routerCount(), nowNanos);
  }

  private int computeHomeCount() {
    int limit = Math.min(state.config().maximumHomes(), eligible.local().size());
    ServerLoad typical = eligible.local().get(0).load();
    double seconds = state.slotHoldNanos() / typical.slots() / NANOS_PER_SECOND;
    return HotPrefixTracker.homeCount(deepestLevelRate, seconds, state.config().targetUtilisation(), limit);
  }

  /**
   * The request to place.
   *
   * @return the request
   */
  public PlacementRequest request() {
    return request;
  }

  /**
   * Time of the decision.
   *
   * @return monotonic nanoseconds
   */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Servers that can take the request; at least one.
   *
   * @return the servers
   */
  public EligibleServers eligible() {
    return eligible;
  }

  /**
   * Beliefs about the servers' caches.
   *
   * @return the index
   */
  public CacheIndex cacheIndex() {
    return state.cacheIndex();
  }

  /**
   * Source of randomness of this router.
   *
   * @return the generator
   */
  public RandomGenerator random() {
    return state.random();
  }

  /**
   * Key of the deepest prefix level, for ranking; equal in every router.
   *
   * @return the key
   */
  public BlockKey prefixKey() {
    return levels.deepest();
  }

  /**
   * The prompt's chain under one weights version, found in the index.
   *
   * @param weights the version
   * @return the lookup
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
   * Describes a candidate, with its cost and an import of blocks where that is faster.
   *
   * @param server the server
   * @param origin why it is considered
   * @return the candidate
   */
  public Candidate evaluate(EligibleServer server, CandidateOrigin origin) {
    double known = expectedBlocks(server);
    return state.costModel().evaluate(this, server, origin, known, known);
  }

  /** Describes the first home of the prefix, which peers that know more may have used already. */
  Candidate evaluateFirstHome(EligibleServer server) {
    double known = expectedBlocks(server);
    int length = lookup(server.weights()).chain().length();
    boolean unknown = known < MIN_KNOWN_SHARE * length;
    if (!unknown) {
      return state.costModel().evaluate(this, server, CandidateOrigin.HOME, known, known);
    }
    homeWithUnknownCache = server.server();
    double guessed = known + state.homePrior().share() * (length - known);
    return state.costModel().evaluate(this, server, CandidateOrigin.HOME, known, guessed);
  }

  /** The first home, when this router knows of no cached prefix there. */
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

  /** Number of homes of the deepest prefix level. */
  int homeCount() {
    return homeCount;
  }

  /** Prompt tokens of the levels above the deepest one. */
  double sharedTokens() {
    return sharedTokens;
  }

  /**
   * Prompt tokens that a home lacks and that later requests will use there, so that their prefill
   * is no reason against the home. A shared level counts as far as every server sees it within a
   * block lifetime; the deepest level counts when it is hot enough for several homes.
   */
  double reusableTokens(double cachedTokens, double lifetimeSeconds) {
    double uses = parentRate * lifetimeSeconds / eligible.local().size();
    double invested = Math.max(0, sharedTokens - cachedTokens) * Math.min(1, uses);
    if (homeCount > 1) {
      double own = Math.max(0, levelTokens - Math.max(cachedTokens, sharedTokens));
      invested += own * Math.min(1, deepestLevelRate * lifetimeSeconds / homeCount);
    }
    return invested;
  }

  /** True when this router had not seen the deepest prefix level recently. */
  boolean isNewPrefix() {
    return deepestLevelRate < NEW_PREFIX_MAX_RATE_PER_SECOND;
  }
}

package org.pollenrock.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.pollenrock.core.cache.CacheIndex;
import org.pollenrock.core.cache.ChainLookup;
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
  private static final double NEW_PREFIX_RATE = 0.1;

  private final PlacementRequest request;
  private final long nowNanos;
  private final EligibleServers eligible;
  private final PlacerState state;
  private final PlacementLevels levels;
  private final double sharedTokens;
  private final double parentRate;
  private final Map<WeightsVersion, ChainLookup> lookups = new HashMap<>(4);

  PlacementContext(
      PlacementRequest request, long nowNanos, EligibleServers eligible, PlacerState state) {
    this.request = request;
    this.nowNanos = nowNanos;
    this.eligible = eligible;
    this.state = state;
    this.levels = PlacementLevels.of(request);
    List<Integer> ends = request.levelEnds();
    int sharedBlocks = ends.size() < 2 ? 0 : ends.get(ends.size() - 2);
    sharedTokens = sharedBlocks * request.tokensPerBlock();
    parentRate =
        levels.parent().map(parent -> state.hot().rate(parent, nowNanos)).orElse(0.0)
            * state.routers();
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
  public CacheIndex cache() {
    return state.cache();
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
      found = cache().lookup(fingerprinter.chain(request.blocks(), scope));
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
  public Candidate candidate(EligibleServer server, CandidateOrigin origin) {
    double blocks =
        cache()
            .expectedBlocks(
                lookup(server.weights()), server.server(), server.load().incarnation(), nowNanos);
    return state.costs().candidate(this, server, origin, blocks);
  }

  PlacerState state() {
    return state;
  }

  PlacementLevels levels() {
    return levels;
  }

  /** Prompt tokens of the levels above the deepest one. */
  double sharedTokens() {
    return sharedTokens;
  }

  /** Requests per second of all routers for the level above the deepest one. */
  double parentRate() {
    return parentRate;
  }

  /** True when this router had not seen the deepest prefix level recently. */
  boolean isNewPrefix() {
    return state.hot().rate(levels.deepest(), nowNanos) * state.routers() < NEW_PREFIX_RATE;
  }
}

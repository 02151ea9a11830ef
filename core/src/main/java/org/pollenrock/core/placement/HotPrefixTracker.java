package org.pollenrock.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.InstanceId;

/**
 * Tracks the exponentially decayed request rate of each prefix level, and whether new prefixes
 * below a level tend to be cached nowhere.
 *
 * <p>The number of levels is bounded: the least recently requested levels are dropped first. Times
 * are monotonic nanoseconds.
 */
public final class HotPrefixTracker {
  /** Time after which a request contributes half as much to a rate, in nanoseconds. */
  public static final long HALF_LIFE_NANOS = 2_000_000_000L;

  private static final double DECAY_PER_NANO = Math.log(2) / HALF_LIFE_NANOS;
  private static final double RATE_PER_OBSERVATION = DECAY_PER_NANO * 1e9;

  /** Weight of the newest outcome in the moving average of the cold share. */
  private static final double OUTCOME_SMOOTHING = 0.1;

  /** Share of uncached new prefixes from which a level is regarded as long-tail traffic. */
  private static final double COLD_TAIL_MIN_SHARE = 0.9;

  private final Map<BlockKey, LevelStats> levels;
  private final Map<InstanceId, List<HotPrefix>> peerHotPrefixes = new HashMap<>();
  private final Map<BlockKey, Double> peerRates = new HashMap<>();
  private final int capacity;

  /**
   * Creates an empty tracker.
   *
   * @param capacity maximum number of levels to track
   */
  public HotPrefixTracker(int capacity) {
    this.capacity = capacity;
    levels = new LinkedHashMap<>(64, 0.75f, true);
  }

  /**
   * Counts a request for a level.
   *
   * @param key key of the level
   * @param nowNanos the current time
   */
  public void observe(BlockKey key, long nowNanos) {
    LevelStats level = levels.get(key);
    if (level == null) {
      level = new LevelStats();
      levels.put(key, level);
      if (levels.size() > capacity) {
        levels.remove(levels.keySet().iterator().next());
      }
    }
    level.rate = level.rate(nowNanos) + RATE_PER_OBSERVATION;
    level.observedNanos = nowNanos;
  }

  /**
   * Returns the request rate of a level at this router.
   *
   * @param key key of the level
   * @param nowNanos the current time
   * @return requests per second, 0 when the level is not tracked
   */
  public double rate(BlockKey key, long nowNanos) {
    LevelStats level = levels.get(key);
    return level == null ? 0 : level.rate(nowNanos);
  }

  /**
   * Estimates the request rate of a level over all routers.
   *
   * <p>The load balancer spreads traffic evenly, so this router's rate times the number of routers
   * is one estimate. A router that has just started has seen too few requests, so the sum of its
   * own rate and the rates that its peers reported is used when it is larger.
   *
   * @param key key of the level
   * @param routers number of routers that share the traffic
   * @param nowNanos the current time
   * @return requests per second
   */
  public double totalRate(BlockKey key, int routers, long nowNanos) {
    double ownRate = rate(key, nowNanos);
    return Math.max(ownRate * routers, ownRate + peerRates.getOrDefault(key, 0.0));
  }

  /**
   * Returns the levels with the highest rates at this router, to be sent to its peers.
   *
   * @param limit maximum number of levels
   * @param nowNanos the current time
   * @return the levels, highest rate first
   */
  public List<HotPrefix> hottest(int limit, long nowNanos) {
    return levels.entrySet().stream()
        .map(level -> new HotPrefix(level.getKey(), level.getValue().rate(nowNanos)))
        .sorted(
            Comparator.comparingDouble(HotPrefix::ratePerSecond)
                .reversed()
                .thenComparing(HotPrefix::level))
        .limit(limit)
        .toList();
  }

  /**
   * Replaces the rates that a peer reported.
   *
   * @param peer the peer
   * @param hot hottest levels of the peer; those beyond the capacity of this tracker are ignored
   */
  public void updatePeer(InstanceId peer, List<HotPrefix> hot) {
    removePeer(peer);
    List<HotPrefix> kept = List.copyOf(hot.subList(0, Math.min(capacity, hot.size())));
    peerHotPrefixes.put(peer, kept);
    kept.forEach(level -> peerRates.merge(level.level(), level.ratePerSecond(), Double::sum));
  }

  /**
   * Drops the rates that a peer reported.
   *
   * @param peer the peer
   */
  public void removePeer(InstanceId peer) {
    if (peerHotPrefixes.remove(peer) == null) {
      return;
    }
    peerRates.clear();
    for (List<HotPrefix> reported : peerHotPrefixes.values()) {
      reported.forEach(level -> peerRates.merge(level.level(), level.ratePerSecond(), Double::sum));
    }
  }

  /**
   * Computes the number of servers that share a prefix: ceil(rate x service time / target
   * utilisation).
   *
   * @param ratePerSecond requests per second of all routers
   * @param serviceSeconds time for which one request occupies a server, in seconds
   * @param targetUtilisation share of a server that the prefix may use
   * @param limit maximum number of homes, at least 1
   * @return number of homes, 1 to {@code limit}
   */
  public static int homeCount(
      double ratePerSecond, double serviceSeconds, double targetUtilisation, int limit) {
    double requiredHomes = Math.ceil(ratePerSecond * serviceSeconds / targetUtilisation);
    return (int) Math.max(1, Math.min(limit, requiredHomes));
  }

  /**
   * Records whether a prefix that is new to this router was cached on the server that it was sent
   * to.
   *
   * @param parent the level above the prefix
   * @param cached true when an earlier request had cached the whole prefix
   */
  public void recordOutcome(BlockKey parent, boolean cached) {
    LevelStats level = levels.get(parent);
    if (level != null) {
      level.coldShare += OUTCOME_SMOOTHING * ((cached ? 0 : 1) - level.coldShare);
    }
  }

  /**
   * Tests whether the traffic below a level is long-tail traffic: nearly all prefixes below the
   * level that were new to this router were not cached.
   *
   * @param parent the level
   * @return true for long-tail traffic
   */
  public boolean hasColdTail(BlockKey parent) {
    LevelStats level = levels.get(parent);
    return level != null && level.coldShare >= COLD_TAIL_MIN_SHARE;
  }

  /**
   * Returns the number of tracked levels.
   *
   * @return number of levels
   */
  public int size() {
    return levels.size();
  }

  /** Decayed request rate and share of uncached new prefixes of one level. */
  private static final class LevelStats {
    private double rate;
    private long observedNanos;

    /** Moving average share of new prefixes below the level that were not cached. */
    private double coldShare;

    double rate(long nowNanos) {
      long age = Math.max(0, nowNanos - observedNanos);
      return rate * Math.exp(-age * DECAY_PER_NANO);
    }
  }
}

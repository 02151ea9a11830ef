package org.pollenrock.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.InstanceId;

/**
 * Request rate of each prefix level, exponentially decayed, and whether the prefixes below a level
 * tend to be cold.
 *
 * <p>Bounded: the levels that were not requested for the longest time are dropped first.
 */
public final class HotPrefixTracker {
  /** Time after which an observation counts half, in nanoseconds. */
  public static final long HALF_LIFE_NANOS = 2_000_000_000L;

  private static final double DECAY_PER_NANO = Math.log(2) / HALF_LIFE_NANOS;
  private static final double RATE_PER_OBSERVATION = DECAY_PER_NANO * 1e9;
  private static final double OUTCOME_SMOOTHING = 0.1;
  private static final double COLD_TAIL_MIN_SHARE = 0.9;

  private final Map<BlockKey, LevelStats> levels;
  private final Map<InstanceId, List<HotPrefix>> peerHotPrefixes = new HashMap<>();
  private final Map<BlockKey, Double> peerRates = new HashMap<>();
  private final int capacity;

  /**
   * Creates an empty tracker.
   *
   * @param capacity most levels to track
   */
  public HotPrefixTracker(int capacity) {
    this.capacity = capacity;
    levels = new LinkedHashMap<>(64, 0.75f, true);
  }

  /**
   * Counts a request.
   *
   * @param key the level
   * @param nowNanos the time
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
   * Request rate of a level.
   *
   * @param key the level
   * @param nowNanos the time
   * @return requests per second, 0 when it is not tracked
   */
  public double rate(BlockKey key, long nowNanos) {
    LevelStats level = levels.get(key);
    return level == null ? 0 : level.rate(nowNanos);
  }

  /**
   * Request rate of a level over all routers.
   *
   * <p>The load balancer spreads traffic evenly, so this router's rate times the number of routers
   * is an estimate; a router that has just started has seen too little and uses what its peers
   * told.
   *
   * @param key the level
   * @param routers routers that share the traffic
   * @param nowNanos the time
   * @return requests per second
   */
  public double totalRate(BlockKey key, int routers, long nowNanos) {
    double own = rate(key, nowNanos);
    return Math.max(own * routers, own + peerRates.getOrDefault(key, 0.0));
  }

  /**
   * The levels with the highest rates at this router, for its peers.
   *
   * @param limit most levels
   * @param nowNanos the time
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
   * Replaces what a peer told about its rates.
   *
   * @param peer the peer
   * @param hot its hottest levels; only the first ones up to the capacity of this tracker are used
   */
  public void updatePeer(InstanceId peer, List<HotPrefix> hot) {
    removePeer(peer);
    List<HotPrefix> kept = List.copyOf(hot.subList(0, Math.min(capacity, hot.size())));
    peerHotPrefixes.put(peer, kept);
    kept.forEach(level -> peerRates.merge(level.level(), level.ratePerSecond(), Double::sum));
  }

  /**
   * Drops what a peer told.
   *
   * @param peer the peer
   */
  public void removePeer(InstanceId peer) {
    if (peerHotPrefixes.remove(peer) == null) {
      return;
    }
    peerRates.clear();
    for (List<HotPrefix> told : peerHotPrefixes.values()) {
      told.forEach(level -> peerRates.merge(level.level(), level.ratePerSecond(), Double::sum));
    }
  }

  /**
   * Number of servers that share a prefix: ceil(rate x service time / target utilisation).
   *
   * @param ratePerSecond requests per second of all routers
   * @param serviceSeconds time that one request takes of one server
   * @param targetUtilisation share of a server that the prefix may take
   * @param limit most homes, at least 1
   * @return homes, 1 to {@code limit}
   */
  public static int homeCount(
      double ratePerSecond, double serviceSeconds, double targetUtilisation, int limit) {
    double wanted = Math.ceil(ratePerSecond * serviceSeconds / targetUtilisation);
    return (int) Math.max(1, Math.min(limit, wanted));
  }

  /**
   * Records whether a prefix that this router had not seen recently was cached where it was sent.
   *
   * @param parent the level above the prefix
   * @param cached true when another request had cached the whole prefix
   */
  public void recordOutcome(BlockKey parent, boolean cached) {
    LevelStats level = levels.get(parent);
    if (level != null) {
      level.coldShare += OUTCOME_SMOOTHING * ((cached ? 0 : 1) - level.coldShare);
    }
  }

  /**
   * True when nearly all prefixes that were new to this router below a level were cached nowhere.
   *
   * @param parent the level
   * @return true for long-tail traffic
   */
  public boolean hasColdTail(BlockKey parent) {
    LevelStats level = levels.get(parent);
    return level != null && level.coldShare >= COLD_TAIL_MIN_SHARE;
  }

  /**
   * Number of tracked levels.
   *
   * @return the count
   */
  public int size() {
    return levels.size();
  }

  /** Decayed state of one level. */
  private static final class LevelStats {
    private double rate;
    private long observedNanos;
    private double coldShare;

    double rate(long nowNanos) {
      long age = Math.max(0, nowNanos - observedNanos);
      return rate * Math.exp(-age * DECAY_PER_NANO);
    }
  }
}

package org.pollenrock.core.cache;

/**
 * Estimates how long a server keeps a block that is not reused, and the resulting confidence that
 * the block is still cached.
 *
 * <p>The lifetime is the cache capacity divided by the smoothed rate at which blocks are stored.
 * Both come from the reports of the server; a default lifetime applies before the first report.
 */
public final class EvictionEstimator {
  /** Lowest confidence of an entry; a lower one counts as 0 and lets the entry expire. */
  public static final double MINIMUM_CONFIDENCE = 0.05;

  /** Lifetime before the first report, in nanoseconds. Engines evict blocks within seconds. */
  public static final long DEFAULT_LIFETIME_NANOS = 10_000_000_000L;

  /** Shortest lifetime, in nanoseconds. Limits the effect of a burst in the reported store rate. */
  public static final long MINIMUM_LIFETIME_NANOS = 100_000_000L;

  /**
   * Longest lifetime, in nanoseconds. Without this limit, an idle server that stores nothing would
   * have an infinite lifetime although it may restart.
   */
  public static final long MAXIMUM_LIFETIME_NANOS = 600_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Weight of a new report in the exponential moving average of the store rate. */
  private static final double SMOOTHING_FACTOR = 0.3;

  /** Age, in lifetimes, at which the confidence falls to {@link #MINIMUM_CONFIDENCE}. */
  private static final double MAX_AGE_LIFETIMES = -Math.log(MINIMUM_CONFIDENCE);

  private static final double LN_2 = Math.log(2);

  private boolean hasReport;
  private double storedPerSecond;
  private double lifetimeNanos = DEFAULT_LIFETIME_NANOS;

  /**
   * Updates the lifetime from a report of the server. Ignores the report when the capacity is
   * unknown or the rate is negative or not a number.
   *
   * @param capacityBlocks blocks that the cache can hold; 0 when unknown
   * @param storedBlocksPerSecond rate of newly stored blocks
   */
  public void applyReport(long capacityBlocks, double storedBlocksPerSecond) {
    if (capacityBlocks <= 0 || !(storedBlocksPerSecond >= 0)) {
      return;
    }
    storedPerSecond =
        hasReport
            ? storedPerSecond + SMOOTHING_FACTOR * (storedBlocksPerSecond - storedPerSecond)
            : storedBlocksPerSecond;
    hasReport = true;
    double lifetime = capacityBlocks / storedPerSecond * NANOS_PER_SECOND;
    lifetimeNanos = Math.max(MINIMUM_LIFETIME_NANOS, Math.min(MAXIMUM_LIFETIME_NANOS, lifetime));
  }

  /**
   * Returns the expected time that a block stays cached when it is not reused.
   *
   * @return nanoseconds
   */
  public double lifetimeNanos() {
    return lifetimeNanos;
  }

  /**
   * Returns the probability that a block is still cached; 0 when it is under {@link
   * #MINIMUM_CONFIDENCE}.
   *
   * @param effectiveAgeNanos time since the block was known to be cached, plus {@link
   *     #halvingAgeNanos}
   * @return between 0 and 1
   */
  public double confidence(double effectiveAgeNanos) {
    double lifetimes = effectiveAgeNanos / lifetimeNanos;
    if (lifetimes <= 0) {
      return 1;
    }
    return lifetimes > MAX_AGE_LIFETIMES ? 0 : Math.exp(-lifetimes);
  }

  /**
   * Returns the additional age that has the same effect as multiplying the confidence by 0.5 the
   * given number of times.
   *
   * @param halvings number of halvings, not necessarily an integer
   * @return nanoseconds
   */
  public double halvingAgeNanos(double halvings) {
    return halvings * LN_2 * lifetimeNanos;
  }
}

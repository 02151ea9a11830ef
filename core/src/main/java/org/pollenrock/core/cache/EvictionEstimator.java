package org.pollenrock.core.cache;

/**
 * Estimates how long a server keeps a block that is not reused, and what that means for a belief.
 *
 * <p>The lifetime is the cache capacity divided by the smoothed rate at which blocks are stored. It
 * is known only from reports; a default applies before the first one.
 */
public final class EvictionEstimator {
  /** Confidence under which a belief is dropped. */
  public static final double MINIMUM_CONFIDENCE = 0.05;

  /** Lifetime before the first report, in nanoseconds: engines evict within seconds. */
  public static final long DEFAULT_LIFETIME_NANOS = 10_000_000_000L;

  /** Shortest lifetime, in nanoseconds; protects against a burst in the reported store rate. */
  public static final long MINIMUM_LIFETIME_NANOS = 100_000_000L;

  /** Longest lifetime, in nanoseconds; an idle server stores nothing but may still restart. */
  public static final long MAXIMUM_LIFETIME_NANOS = 600_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SMOOTHING = 0.3;
  private static final double MAX_AGE_LIFETIMES = -Math.log(MINIMUM_CONFIDENCE);
  private static final double LN_2 = Math.log(2);

  private boolean hasReport;
  private double storedPerSecond;
  private double lifetimeNanos = DEFAULT_LIFETIME_NANOS;

  /**
   * Takes the figures of a report.
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
            ? storedPerSecond + SMOOTHING * (storedBlocksPerSecond - storedPerSecond)
            : storedBlocksPerSecond;
    hasReport = true;
    double lifetime = capacityBlocks / storedPerSecond * NANOS_PER_SECOND;
    lifetimeNanos = Math.max(MINIMUM_LIFETIME_NANOS, Math.min(MAXIMUM_LIFETIME_NANOS, lifetime));
  }

  /**
   * Expected time that an unused block stays cached.
   *
   * @return nanoseconds
   */
  public double lifetimeNanos() {
    return lifetimeNanos;
  }

  /**
   * Confidence of a belief; 0 when it is under {@link #MINIMUM_CONFIDENCE}.
   *
   * @param effectiveAgeNanos age of the belief, including what {@link #penaltyNanos} adds
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
   * Age that has the same effect as multiplying the confidence by 0.5 several times.
   *
   * @param halvings how many times
   * @return nanoseconds
   */
  public double penaltyNanos(double halvings) {
    return halvings * LN_2 * lifetimeNanos;
  }
}

package org.pollenrock.core.lease;

/**
 * Durations and delays that a {@link LeaseHolder} uses.
 *
 * @param durationNanos duration of a grant
 * @param marginNanos time before the end of the grant at which the holder stops using the lease;
 *     covers the difference between the clock rates of the router and the log
 * @param retryNanos time after which the holder repeats a request that has no result yet
 * @param pauseThresholdNanos gap between two inputs above which the process counts as paused and
 *     the holder discards the lease and all earlier requests
 * @param staggerNanos delay of this router's request after a lease becomes free, so that routers do
 *     not all send requests at the same time
 */
public record LeaseSettings(
    long durationNanos,
    long marginNanos,
    long retryNanos,
    long pauseThresholdNanos,
    long staggerNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the margin is negative or not shorter than the duration,
   *     the duration exceeds the maximum, or another time is out of range
   */
  public LeaseSettings {
    if (marginNanos < 0 || marginNanos >= durationNanos) {
      throw new IllegalArgumentException(
          "lease margin must not be negative and must be shorter than the lease duration");
    }
    if (durationNanos > LeaseTable.MAX_DURATION_MILLIS * NANOS_PER_MILLI) {
      throw new IllegalArgumentException("lease duration exceeds the maximum lease duration");
    }
    if (Math.min(retryNanos, pauseThresholdNanos) <= 0 || staggerNanos < 0) {
      throw new IllegalArgumentException(
          "retry time and pause threshold must be positive, stagger delay must not be negative");
    }
  }

  /**
   * Returns the duration in the time unit of the log.
   *
   * @return the duration in milliseconds, rounded down
   */
  public long durationMillis() {
    return durationNanos / NANOS_PER_MILLI;
  }
}

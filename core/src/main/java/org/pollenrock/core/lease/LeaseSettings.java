package org.pollenrock.core.lease;

/**
 * Times of a router's lease.
 *
 * @param durationNanos how long a grant lasts
 * @param marginNanos how much earlier the holder stops; covers the difference in clock rates
 * @param retryNanos time after which a request without a result is repeated
 * @param pauseThresholdNanos gap between two inputs after which the holder trusts no earlier
 *     request
 * @param staggerNanos delay of this router after a lease became free, so that not all ask at once
 */
public record LeaseSettings(
    long durationNanos,
    long marginNanos,
    long retryNanos,
    long pauseThresholdNanos,
    long staggerNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException when the margin leaves no time or the duration is too long
   */
  public LeaseSettings {
    if (marginNanos < 0 || marginNanos >= durationNanos) {
      throw new IllegalArgumentException("margin must be shorter than the duration");
    }
    if (durationNanos > LeaseTable.MAX_DURATION_MILLIS * NANOS_PER_MILLI) {
      throw new IllegalArgumentException("duration is too long");
    }
    if (Math.min(retryNanos, pauseThresholdNanos) <= 0 || staggerNanos < 0) {
      throw new IllegalArgumentException("times must be positive");
    }
  }

  /**
   * Duration in the unit of the log.
   *
   * @return milliseconds
   */
  public long durationMillis() {
    return durationNanos / NANOS_PER_MILLI;
  }
}

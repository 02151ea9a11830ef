package org.pollenrock.core.claim;

/**
 * Bounds of the claim protocol; every router of a log must use the same window and tolerance,
 * because they decide which claims are valid.
 *
 * @param windowMillis how far the key's time may lie before the time of its claim
 * @param futureToleranceMillis how far the key's time may lie after the time of its claim
 * @param maxWaitNanos longest wait for the outcome of another claim of the key
 * @param batchIntervalNanos least time between two appends
 * @param retryDelayNanos time after which an append of unknown effect is repeated when reading the
 *     log did not show it
 * @param logSilenceTimeoutNanos time without a successful read after which the log counts as
 *     unavailable
 * @param maxTableBytes bound of the claim table
 * @param maxPendingRecords bound of the records that wait for an append
 */
public record ClaimSettings(
    long windowMillis,
    long futureToleranceMillis,
    long maxWaitNanos,
    long batchIntervalNanos,
    long retryDelayNanos,
    long logSilenceTimeoutNanos,
    long maxTableBytes,
    int maxPendingRecords) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a bound is not positive
   */
  public ClaimSettings {
    long smallest = Math.min(windowMillis, Math.min(futureToleranceMillis, maxWaitNanos));
    smallest = Math.min(smallest, Math.min(batchIntervalNanos, retryDelayNanos));
    smallest = Math.min(smallest, Math.min(logSilenceTimeoutNanos, maxTableBytes));
    if (Math.min(smallest, maxPendingRecords) <= 0) {
      throw new IllegalArgumentException("bounds must be positive");
    }
  }

  /**
   * Values of the design page: window 15 min, tolerance 1 min, patience 10 s, one append per 10 ms.
   *
   * @return the defaults
   */
  public static ClaimSettings defaults() {
    return new ClaimSettings(
        15 * 60_000L,
        60_000L,
        10_000 * NANOS_PER_MILLI,
        10 * NANOS_PER_MILLI,
        200 * NANOS_PER_MILLI,
        2_000 * NANOS_PER_MILLI,
        32L * 1024 * 1024,
        4096);
  }
}

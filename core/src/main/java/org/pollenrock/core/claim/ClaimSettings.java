package org.pollenrock.core.claim;

/**
 * Limits of the claim protocol. All routers that share a log must use the same window and
 * tolerance, because these decide which claims are valid.
 *
 * @param windowMillis how far the key's time may lie before the log time of its claim
 * @param futureToleranceMillis how far the key's time may lie after the log time of its claim
 * @param maxWaitNanos maximum wait of a call for its own claim or for the outcome of another claim
 *     of the key
 * @param batchIntervalNanos minimum time between two appends
 * @param retryDelayNanos time after which a record is appended again when the result of its append
 *     is not known and the record was not read from the log
 * @param logSilenceTimeoutNanos time without a successful read after which the log counts as
 *     unavailable
 * @param maxTableBytes maximum size of the claim table, in estimated heap bytes
 * @param maxPendingRecords maximum number of records that wait for an append
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
   * Checks that all values are positive.
   *
   * @throws IllegalArgumentException when a value is not positive
   */
  public ClaimSettings {
    long smallest = Math.min(windowMillis, Math.min(futureToleranceMillis, maxWaitNanos));
    smallest = Math.min(smallest, Math.min(batchIntervalNanos, retryDelayNanos));
    smallest = Math.min(smallest, Math.min(logSilenceTimeoutNanos, maxTableBytes));
    if (Math.min(smallest, maxPendingRecords) <= 0) {
      throw new IllegalArgumentException("all claim settings must be positive");
    }
  }

  /**
   * Returns the default settings of the design page: window 15 min, tolerance 1 min, maximum wait
   * 10 s, and one append per 10 ms.
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

package org.pollenrock.core.weights;

/**
 * Times of the lease on orders.
 *
 * @param validNanos time after the sending of an accepted claim within which orders may be given
 * @param renewNanos age of the newest claim at which the holder renews it
 * @param takeoverNanos time without a newer claim, while work is left, after which another instance
 *     claims
 * @param handoverNanos time that must pass between the last possible order of one holder and the
 *     first of the next
 */
public record OrderLeaseSettings(
    long validNanos, long renewNanos, long takeoverNanos, long handoverNanos) {
  private static final long VALID_NANOS = 900_000_000L;
  private static final long RENEW_NANOS = 350_000_000L;

  /** Renewals missed in a row before a holder counts as gone. */
  private static final int MISSED_RENEWALS = 3;

  /**
   * Settings for a time between holders.
   *
   * @param handoverMillis the time that the platform asks for
   * @return the settings
   */
  public static OrderLeaseSettings of(long handoverMillis) {
    return new OrderLeaseSettings(
        VALID_NANOS, RENEW_NANOS, MISSED_RENEWALS * RENEW_NANOS, handoverMillis * 1_000_000);
  }
}

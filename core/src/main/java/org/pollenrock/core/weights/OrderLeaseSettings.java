package org.pollenrock.core.weights;

/**
 * Durations of the {@link OrderLease}.
 *
 * @param validNanos time after sending an accepted claim within which orders may be sent
 * @param renewNanos age of the newest claim at which its holder renews it
 * @param takeoverNanos time without a newer claim, while there is work, after which another
 *     instance claims
 * @param handoverNanos minimum time between the last possible order of one holder and the first
 *     order of the next one
 */
public record OrderLeaseSettings(
    long validNanos, long renewNanos, long takeoverNanos, long handoverNanos) {
  private static final long VALID_NANOS = 900_000_000L;
  private static final long RENEW_NANOS = 350_000_000L;

  /** Number of consecutive missed renewals after which a holder is considered gone. */
  private static final int MISSED_RENEWALS = 3;

  /**
   * Creates the settings for a handover time.
   *
   * @param handoverMillis minimum time between two holders as required by the platform
   * @return the settings
   */
  public static OrderLeaseSettings of(long handoverMillis) {
    return new OrderLeaseSettings(
        VALID_NANOS, RENEW_NANOS, MISSED_RENEWALS * RENEW_NANOS, handoverMillis * 1_000_000);
  }
}

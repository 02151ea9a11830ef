package org.pollenrock.core.limits;

import org.pollenrock.core.route.CustomerQuota;

/**
 * By how much all instances together may exceed a quota.
 *
 * @param windowNanos length of the window in which the excess counts, in nanoseconds
 * @param overFraction allowed excess as a fraction of what the quota gives in a window
 * @param slack allowed excess in addition, in the unit of the quota
 */
public record QuotaMargins(long windowNanos, double overFraction, double slack) {
  /** No excess. */
  public static final QuotaMargins NONE = new QuotaMargins(0, 0, 0);

  /** Part of the margin that covers amounts on their way between instances, in seconds of rate. */
  private static final double TRANSFER_SECONDS = 0.5;

  /** Starts of one instance in a window that the margin covers. */
  private static final int STARTS_PER_WINDOW = 2;

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException when a value is negative or not a number
   */
  public QuotaMargins {
    if (windowNanos < 0 || !(overFraction >= 0) || !(slack >= 0)) {
      throw new IllegalArgumentException(
          "invalid margins: window "
              + windowNanos
              + " ns, over "
              + overFraction
              + ", slack "
              + slack);
    }
  }

  /** Returns what all instances of the fleet together may have at hand when they start. */
  double startCredit(CustomerQuota quota) {
    double perWindow = quota.ratePerSecond() * windowNanos / 1e9 + quota.capacity();
    double reserved = TRANSFER_SECONDS * quota.ratePerSecond();
    return Math.max(0, perWindow * overFraction + slack - reserved) / STARTS_PER_WINDOW;
  }
}

package org.pollenrock.core.retry;

/**
 * Thresholds and durations for the ejection of failing servers.
 *
 * @param consecutiveFailures number of consecutive failures after which a server is ejected
 * @param minSamples minimum number of outcomes, after decay, for which a success rate is compared
 * @param successMargin how far below that of the other servers a success rate must lie for an
 *     ejection, greater than 0 and at most 1
 * @param halfLifeNanos half-life of an outcome's weight in the success rate
 * @param baseNanos duration of the first ejection
 * @param maxNanos maximum duration of an ejection; for a server that was not ejected for this long,
 *     the duration starts at {@code baseNanos} again
 * @param trialTimeoutNanos time without an outcome after which another trial request is allowed
 */
public record EjectionSettings(
    int consecutiveFailures,
    double minSamples,
    double successMargin,
    long halfLifeNanos,
    long baseNanos,
    long maxNanos,
    long trialTimeoutNanos) {
  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public EjectionSettings {
    if (consecutiveFailures < 1 || !(minSamples > 0)) {
      throw new IllegalArgumentException(
          "consecutiveFailures and minSamples must be positive: "
              + consecutiveFailures
              + ", "
              + minSamples);
    }
    if (!(successMargin > 0 && successMargin <= 1)) {
      throw new IllegalArgumentException(
          "successMargin must be greater than 0 and at most 1: " + successMargin);
    }
    if (halfLifeNanos <= 0 || baseNanos <= 0 || maxNanos < baseNanos || trialTimeoutNanos <= 0) {
      throw new IllegalArgumentException(
          "durations must be positive and maxNanos not less than baseNanos");
    }
  }
}

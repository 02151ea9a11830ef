package org.pollenrock.core.retry;

/**
 * Bounds of the ejection of failing servers.
 *
 * @param consecutiveFailures failures in a row that eject a server
 * @param minSamples least number of decayed outcomes before a success rate is compared
 * @param successMargin how far a success rate must lie under that of the other servers, 0 to 1
 * @param halfLifeNanos time after which an outcome counts half in the success rate
 * @param baseNanos length of the first ejection
 * @param maxNanos longest ejection; a server that stayed in for this long starts at the base again
 * @param trialTimeoutNanos after this time without an outcome another trial is allowed
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
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public EjectionSettings {
    if (consecutiveFailures < 1 || !(minSamples > 0)) {
      throw new IllegalArgumentException(
          "consecutiveFailures " + consecutiveFailures + ", minSamples " + minSamples);
    }
    if (!(successMargin > 0 && successMargin <= 1)) {
      throw new IllegalArgumentException("successMargin outside (0, 1]: " + successMargin);
    }
    if (halfLifeNanos <= 0 || baseNanos <= 0 || maxNanos < baseNanos || trialTimeoutNanos <= 0) {
      throw new IllegalArgumentException("durations must be positive and maxNanos >= baseNanos");
    }
  }
}

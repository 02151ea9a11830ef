package org.pollenrock.core.fleet;

/** Moving average of the failures of a server, which decays with time. */
final class FailureRate {
  /**
   * Weight of one outcome in the moving average, which is dominated by about the last eight
   * outcomes.
   */
  private static final double OUTCOME_WEIGHT = 0.12;

  /** Time in which the average falls by half, so that an avoided server gets requests again. */
  private static final double HALF_LIFE_NANOS = 4.0 * LoadEstimate.HALF_LIFE_NANOS;

  private double rate;
  private long updatedNanos;

  FailureRate(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Records the outcome of one request. */
  void recordOutcome(boolean success, long nowNanos) {
    record(1, success ? 0 : 1, nowNanos);
  }

  /** Records several outcomes, of which some are failures. */
  void record(int count, int failures, long nowNanos) {
    double retained = Math.pow(1 - OUTCOME_WEIGHT, count);
    rate = value(nowNanos) * retained + (1 - retained) * failures / count;
    updatedNanos = nowNanos;
  }

  /** Returns the fraction of failed requests, from 0 to 1. */
  double value(long nowNanos) {
    return rate == 0
        ? 0
        : rate * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
  }
}

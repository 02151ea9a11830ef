package org.pollenrock.core.limits;

/** Recent demand, which decays exponentially. Times are monotonic nanoseconds. */
final class DemandRate {
  /** Shares are sized by the demand of the last seconds, because older demand predicts little. */
  private static final double HALF_LIFE_NANOS = 1e9;

  private static final double PER_SECOND = Math.log(2) * 1e9 / HALF_LIFE_NANOS;

  private double recent;
  private long updatedNanos;

  DemandRate(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Adds an amount. */
  void add(double amount, long nowNanos) {
    recent = recent(nowNanos) + amount;
    updatedNanos = Math.max(updatedNanos, nowNanos);
  }

  /** Returns the sum of the amounts, each halved once for each half-life since. */
  double recent(long nowNanos) {
    long elapsed = nowNanos - updatedNanos;
    return elapsed <= 0 ? recent : recent * Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
  }

  /** Returns the recent demand in amounts per second. */
  double perSecond(long nowNanos) {
    return recent(nowNanos) * PER_SECOND;
  }
}

package org.pollenrock.core.placement;

/**
 * Exponentially decayed rate of the requests that this router places.
 *
 * <p>Times are monotonic nanoseconds.
 */
final class ArrivalRate {
  /** Time after which a request contributes half as much to the rate, in nanoseconds. */
  private static final double HALF_LIFE_NANOS = 2e9;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DECAY_PER_SECOND = Math.log(2) / HALF_LIFE_NANOS * NANOS_PER_SECOND;

  private double perSecond;
  private long lastNanos;

  /** Adds one request at the given time. */
  void observe(long nowNanos) {
    perSecond = perSecond(nowNanos) + DECAY_PER_SECOND;
    lastNanos = nowNanos;
  }

  /** Returns the rate at the given time, in requests per second. */
  double perSecond(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    return perSecond * Math.exp(-DECAY_PER_SECOND * seconds);
  }
}

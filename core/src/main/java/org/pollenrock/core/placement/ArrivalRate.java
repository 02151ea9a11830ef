package org.pollenrock.core.placement;

/** Exponentially decayed rate of the requests that this router places. */
final class ArrivalRate {
  /** Half-life of an observation, in nanoseconds. */
  private static final double HALF_LIFE_NANOS = 2e9;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DECAY_PER_SECOND = Math.log(2) / HALF_LIFE_NANOS * NANOS_PER_SECOND;

  private double perSecond;
  private long lastNanos;

  void observe(long nowNanos) {
    perSecond = perSecond(nowNanos) + DECAY_PER_SECOND;
    lastNanos = nowNanos;
  }

  double perSecond(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    return perSecond * Math.exp(-DECAY_PER_SECOND * seconds);
  }
}

package org.pollenrock.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential delays with jitter, so that clients of a failed server do not return together.
 *
 * <p>The delay before retry n is uniform between half and all of base x 2^(n-1), capped.
 */
public final class Backoff {
  private final long baseNanos;
  private final long maxNanos;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseNanos longest delay before the first retry, positive
   * @param maxNanos longest delay before any retry, at least the base
   * @param random source of the jitter
   * @throws IllegalArgumentException when a delay is out of range
   */
  public Backoff(long baseNanos, long maxNanos, RandomGenerator random) {
    if (baseNanos <= 0 || maxNanos < baseNanos) {
      throw new IllegalArgumentException("base " + baseNanos + " ns, max " + maxNanos + " ns");
    }
    this.baseNanos = baseNanos;
    this.maxNanos = maxNanos;
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Delay before a retry.
   *
   * @param retry number of the retry, starting at 1
   * @return nanoseconds
   * @throws IllegalArgumentException when the number is not positive
   */
  public long delayNanos(int retry) {
    if (retry < 1) {
      throw new IllegalArgumentException("retry must be positive: " + retry);
    }
    long ceiling = ceilingNanos(retry);
    long half = ceiling / 2;
    return half + random.nextLong(ceiling - half + 1);
  }

  private long ceilingNanos(int retry) {
    int doublings = Math.min(retry - 1, Long.numberOfLeadingZeros(baseNanos) - 1);
    return Math.min(maxNanos, baseNanos << doublings);
  }
}

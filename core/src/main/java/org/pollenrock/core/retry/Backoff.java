package org.pollenrock.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, so that the clients of a failed server do not all retry at the
 * same time.
 *
 * <p>The delay before retry n is uniformly distributed between half and all of base x 2^(n-1), or
 * of the maximum delay if that is smaller.
 */
public final class Backoff {
  private final long baseNanos;
  private final long maxNanos;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseNanos maximum delay before the first retry in nanoseconds, positive
   * @param maxNanos maximum delay before any retry in nanoseconds, at least the base
   * @param random source of the jitter
   * @throws IllegalArgumentException if a delay is out of range
   */
  public Backoff(long baseNanos, long maxNanos, RandomGenerator random) {
    if (baseNanos <= 0 || maxNanos < baseNanos) {
      throw new IllegalArgumentException(
          "invalid backoff: base " + baseNanos + " ns, maximum " + maxNanos + " ns");
    }
    this.baseNanos = baseNanos;
    this.maxNanos = maxNanos;
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Returns a random delay before a retry.
   *
   * @param retry number of the retry, starting at 1
   * @return the delay in nanoseconds
   * @throws IllegalArgumentException if the number is not positive
   */
  public long delayNanos(int retry) {
    if (retry < 1) {
      throw new IllegalArgumentException("retry must be positive: " + retry);
    }
    long ceilingNanos = ceilingNanos(retry);
    long halfNanos = ceilingNanos / 2;
    return halfNanos + random.nextLong(ceilingNanos - halfNanos + 1);
  }

  /** Returns the maximum delay before a retry; limits the shift so that it cannot overflow. */
  private long ceilingNanos(int retry) {
    int doublings = Math.min(retry - 1, Long.numberOfLeadingZeros(baseNanos) - 1);
    return Math.min(maxNanos, baseNanos << doublings);
  }
}

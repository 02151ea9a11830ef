package org.pollenrock.core.limits;

/**
 * Token bucket whose rate can change while it is in use.
 *
 * <p>An amount above the capacity is allowed when the bucket is full and makes the balance
 * negative. Without this rule a large prompt, or a single request under a small share, would never
 * be allowed. The long-term rate is still enforced; at any time at most one amount above the
 * capacity is outstanding.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long lastRefillNanos;

  /**
   * Creates a full bucket.
   *
   * @param ratePerSecond tokens added per second, not negative
   * @param capacity maximum number of tokens, not negative; a bucket of capacity 0 allows nothing
   * @param nowNanos current time
   * @throws IllegalArgumentException when rate or capacity is negative or not a number
   */
  public TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
    requireValid(ratePerSecond, capacity);
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.tokens = capacity;
    this.lastRefillNanos = nowNanos;
  }

  /**
   * Changes rate and capacity. The time since the last refill counts at the lower of the old and
   * the new rate, because the share that determines the rate may have changed at any time since
   * then.
   *
   * @param newRatePerSecond tokens added per second, not negative
   * @param newCapacity maximum number of tokens, not negative
   * @param nowNanos current time
   * @throws IllegalArgumentException when rate or capacity is negative or not a number
   */
  public void adjust(double newRatePerSecond, double newCapacity, long nowNanos) {
    if (newRatePerSecond == ratePerSecond && newCapacity == capacity) {
      return;
    }
    requireValid(newRatePerSecond, newCapacity);
    ratePerSecond = Math.min(ratePerSecond, newRatePerSecond);
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    tokens = Math.min(tokens, capacity);
  }

  /**
   * Returns whether an amount may be consumed now.
   *
   * @param amount number of tokens, not negative
   * @param nowNanos current time
   * @return true if {@link #consume} may be called with the amount
   */
  public boolean allows(double amount, long nowNanos) {
    refill(nowNanos);
    return capacity > 0 && tokens >= Math.min(amount, capacity);
  }

  /**
   * Consumes an amount; the caller has checked it with {@link #allows} immediately before.
   *
   * @param amount number of tokens, not negative
   */
  public void consume(double amount) {
    tokens -= amount;
  }

  /**
   * Returns the tokens of a request that did not run to the bucket.
   *
   * @param amount number of tokens, not negative
   * @param nowNanos current time
   */
  public void refund(double amount, long nowNanos) {
    refill(nowNanos);
    tokens = Math.min(capacity, tokens + amount);
  }

  /**
   * Returns the time until an amount is allowed if nothing else is consumed.
   *
   * @param amount number of tokens, not negative
   * @param nowNanos current time
   * @return time in nanoseconds, 0 if the amount is allowed now, {@link Long#MAX_VALUE} if it never
   *     is
   */
  public long nanosUntilAllowed(double amount, long nowNanos) {
    if (allows(amount, nowNanos)) {
      return 0;
    }
    if (ratePerSecond <= 0 || capacity <= 0) {
      return Long.MAX_VALUE;
    }
    double missing = Math.min(amount, capacity) - tokens;
    return (long) Math.ceil(missing / ratePerSecond * NANOS_PER_SECOND);
  }

  /**
   * Returns whether the bucket is full, as a new bucket is.
   *
   * @param nowNanos current time
   * @return true if replacing the bucket by a new one would change no decision
   */
  public boolean isFull(long nowNanos) {
    refill(nowNanos);
    return tokens >= capacity;
  }

  /**
   * Returns the number of available tokens; it is negative after an amount above the balance was
   * consumed, until refills have covered it.
   *
   * @param nowNanos current time
   * @return number of available tokens
   */
  public double tokens(long nowNanos) {
    refill(nowNanos);
    return tokens;
  }

  private void refill(long nowNanos) {
    long elapsed = nowNanos - lastRefillNanos;
    if (elapsed <= 0) {
      return;
    }
    tokens = Math.min(capacity, tokens + elapsed / NANOS_PER_SECOND * ratePerSecond);
    lastRefillNanos = nowNanos;
  }

  private static void requireValid(double ratePerSecond, double capacity) {
    if (!(ratePerSecond >= 0) || !(capacity >= 0)) {
      throw new IllegalArgumentException(
          "rate and capacity must not be negative or NaN: rate "
              + ratePerSecond
              + ", capacity "
              + capacity);
    }
  }
}

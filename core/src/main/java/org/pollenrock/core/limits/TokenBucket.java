package org.pollenrock.core.limits;

/**
 * Token bucket whose rate can change while it is in use.
 *
 * <p>An amount above the capacity passes when the bucket is full and leaves a debt, so that a large
 * prompt, or a single request under a small share, waits rather than never passing. The long-run
 * rate holds; at any time at most one amount above the capacity is outstanding.
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
   * @param ratePerSecond tokens per second, not negative
   * @param capacity most tokens it holds, not negative; a bucket of capacity 0 passes nothing
   * @param nowNanos time now
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
   * Changes rate and capacity. Time since the last use counts at the lower of both rates, because
   * the share that the rate follows may have changed at any moment since then.
   *
   * @param newRatePerSecond tokens per second, not negative
   * @param newCapacity most tokens it holds, not negative
   * @param nowNanos time now
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
   * Tells whether an amount would pass now.
   *
   * @param amount tokens, not negative
   * @param nowNanos time now
   * @return true when {@link #consume} may follow
   */
  public boolean allows(double amount, long nowNanos) {
    refill(nowNanos);
    return capacity > 0 && tokens >= Math.min(amount, capacity);
  }

  /**
   * Takes an amount that {@link #allows} has just passed.
   *
   * @param amount tokens, not negative
   */
  public void consume(double amount) {
    tokens -= amount;
  }

  /**
   * Gives back an amount whose request did not run.
   *
   * @param amount tokens, not negative
   * @param nowNanos time now
   */
  public void refund(double amount, long nowNanos) {
    refill(nowNanos);
    tokens = Math.min(capacity, tokens + amount);
  }

  /**
   * Time until an amount passes if nothing else is taken.
   *
   * @param amount tokens, not negative
   * @param nowNanos time now
   * @return nanoseconds, 0 when it passes now, {@link Long#MAX_VALUE} when it never does
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
   * Tells whether the bucket is as full as a new one.
   *
   * @param nowNanos time now
   * @return true when forgetting it would change no decision
   */
  public boolean isFull(long nowNanos) {
    refill(nowNanos);
    return tokens >= capacity;
  }

  /**
   * Tokens that it holds; negative while a debt is paid off.
   *
   * @param nowNanos time now
   * @return tokens
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
      throw new IllegalArgumentException("rate " + ratePerSecond + ", capacity " + capacity);
    }
  }
}

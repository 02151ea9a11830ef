package org.pollenrock.core.limits;

/**
 * What an instance has of one quota: its own share, and what others have transferred to it.
 *
 * <p>The received amounts are a pool of their own, which expires, so that amounts that move between
 * instances do not add up to more than the burst for long.
 */
final class QuotaBalance {
  /** Time after which unused received amounts are given up, as far as the own share is full. */
  private static final long RECEIVED_VALID_NANOS = 250_000_000L;

  private final TokenBucket share;
  private double received;
  private long receivedExpiryNanos;

  /** Creates an empty balance. */
  QuotaBalance(double ratePerSecond, double capacity, long nowNanos) {
    share = new TokenBucket(ratePerSecond, capacity, nowNanos);
    share.consume(capacity);
  }

  /** Changes the own share; the time since the last change counts at the lower rate. */
  void adjust(double ratePerSecond, double capacity, long nowNanos) {
    share.adjust(ratePerSecond, capacity, nowNanos);
  }

  /** Returns the available amount. */
  double available(long nowNanos) {
    expireReceived(nowNanos);
    return share.tokens(nowNanos) + received;
  }

  /** Deducts an amount that is available. */
  void charge(double amount, long nowNanos) {
    expireReceived(nowNanos);
    double fromReceived = Math.min(amount, received);
    received -= fromReceived;
    share.consume(amount - fromReceived);
  }

  /** Adds an amount to the own share, as far as it has room. */
  void refund(double amount, long nowNanos) {
    share.refund(amount, nowNanos);
  }

  /** Adds an amount that another instance has deducted. */
  void receive(double amount, long nowNanos) {
    expireReceived(nowNanos);
    if (received == 0) {
      receivedExpiryNanos = nowNanos + RECEIVED_VALID_NANOS;
    }
    received += amount;
  }

  /** Deducts at most an amount from the own share, of which a reserve is kept; returns how much. */
  double give(double amount, double reserve, long nowNanos) {
    double given = Math.clamp(share.tokens(nowNanos) - reserve, 0, amount);
    share.consume(given);
    return given;
  }

  /** Returns the time until the own share covers an amount, or is full. */
  long nanosUntilAvailable(double amount, long nowNanos) {
    return share.nanosUntilAllowed(amount, nowNanos);
  }

  private void expireReceived(long nowNanos) {
    if (received > 0 && nowNanos - receivedExpiryNanos >= 0) {
      share.refund(received, nowNanos);
      received = 0;
    }
  }
}

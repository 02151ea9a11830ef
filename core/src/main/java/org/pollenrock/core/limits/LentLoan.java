package org.pollenrock.core.limits;

/** A loan that this router has granted to a peer. */
final class LentLoan {
  private final long amount;
  private long round;
  private long expiryNanos;

  LentLoan(long amount, long round, long expiryNanos) {
    this.amount = amount;
    this.round = round;
    this.expiryNanos = expiryNanos;
  }

  long amount() {
    return amount;
  }

  long round() {
    return round;
  }

  long expiryNanos() {
    return expiryNanos;
  }

  void renew(long newRound, long newExpiryNanos) {
    round = newRound;
    expiryNanos = newExpiryNanos;
  }
}

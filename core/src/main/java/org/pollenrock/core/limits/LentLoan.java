package org.pollenrock.core.limits;

/** A loan that this router gave. */
final class LentLoan {
  private final long amount;
  private long round;
  private long expiryNanos;

  LentLoan(long amount, long round, long expiresAt) {
    this.amount = amount;
    this.round = round;
    this.expiryNanos = expiresAt;
  }

  long amount() {
    return amount;
  }

  long round() {
    return round;
  }

  long expiresAt() {
    return expiryNanos;
  }

  void renew(long newRound, long newExpiresAt) {
    round = newRound;
    expiryNanos = newExpiresAt;
  }
}

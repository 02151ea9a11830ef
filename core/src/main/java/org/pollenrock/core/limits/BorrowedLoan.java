package org.pollenrock.core.limits;

import org.pollenrock.core.model.InstanceId;

/** A loan that this router asked for. */
final class BorrowedLoan {
  private final InstanceId lender;
  private long amount;
  private long round;
  private long sentAt;
  private boolean waiting = true;
  private boolean granted;
  private long expiresAt;

  BorrowedLoan(InstanceId lender, long wanted, long nowNanos) {
    this.lender = lender;
    this.amount = wanted;
    this.sentAt = nowNanos;
  }

  InstanceId lender() {
    return lender;
  }

  /** The wanted amount until the loan is granted, then the lent one. */
  long amount() {
    return amount;
  }

  long round() {
    return round;
  }

  long sentAt() {
    return sentAt;
  }

  /** Whether the latest request has no reply yet. */
  boolean waiting() {
    return waiting;
  }

  boolean usable(long nowNanos) {
    return granted && nowNanos < expiresAt;
  }

  /** Whether the loan was granted at least once. */
  boolean granted() {
    return granted;
  }

  void granted(long lentAmount, long loanDurationNanos) {
    amount = Math.min(amount, lentAmount);
    expiresAt = sentAt + loanDurationNanos;
    granted = true;
    waiting = false;
  }

  void refused() {
    waiting = false;
  }

  void renewalSent(long nowNanos) {
    round++;
    sentAt = nowNanos;
    waiting = true;
  }
}

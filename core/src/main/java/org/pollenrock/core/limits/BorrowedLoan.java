package org.pollenrock.core.limits;

import org.pollenrock.core.model.InstanceId;

/** A loan that this router asked for. */
final class BorrowedLoan {
  private final InstanceId lender;
  private long amount;
  private long round;
  private long sentNanos;
  private boolean awaitingReply = true;
  private boolean granted;
  private long expiryNanos;

  BorrowedLoan(InstanceId lender, long wanted, long nowNanos) {
    this.lender = lender;
    this.amount = wanted;
    this.sentNanos = nowNanos;
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
    return sentNanos;
  }

  /** Whether the latest request has no reply yet. */
  boolean waiting() {
    return awaitingReply;
  }

  boolean isUsable(long nowNanos) {
    return granted && nowNanos < expiryNanos;
  }

  /** Whether the loan was granted at least once. */
  boolean granted() {
    return granted;
  }

  void granted(long lentAmount, long loanDurationNanos) {
    amount = Math.min(amount, lentAmount);
    expiryNanos = sentNanos + loanDurationNanos;
    granted = true;
    awaitingReply = false;
  }

  void recordRefusal() {
    awaitingReply = false;
  }

  void recordRenewalSent(long nowNanos) {
    round++;
    sentNanos = nowNanos;
    awaitingReply = true;
  }
}

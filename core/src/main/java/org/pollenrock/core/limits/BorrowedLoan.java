package org.pollenrock.core.limits;

import org.pollenrock.core.model.InstanceId;

/** A loan that this router has requested from a peer, granted or not. */
final class BorrowedLoan {
  private final InstanceId lender;
  private long amount;
  private long round;
  private long sentNanos;
  private boolean awaitingReply = true;
  private boolean granted;
  private long expiryNanos;

  BorrowedLoan(InstanceId lender, long requestedAmount, long nowNanos) {
    this.lender = lender;
    this.amount = requestedAmount;
    this.sentNanos = nowNanos;
  }

  InstanceId lender() {
    return lender;
  }

  /** Returns the requested amount until the loan is granted, and the lent amount afterwards. */
  long amount() {
    return amount;
  }

  long round() {
    return round;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns whether the latest request for this loan has not been answered yet. */
  boolean isAwaitingReply() {
    return awaitingReply;
  }

  /** Returns whether the loan was granted and has not expired. */
  boolean isUsable(long nowNanos) {
    return granted && nowNanos < expiryNanos;
  }

  /** Returns whether the loan was granted at least once. */
  boolean isGranted() {
    return granted;
  }

  /** Records a grant. The loan expires one loan duration after its request was sent. */
  void recordGrant(long lentAmount, long loanDurationNanos) {
    amount = Math.min(amount, lentAmount);
    expiryNanos = sentNanos + loanDurationNanos;
    granted = true;
    awaitingReply = false;
  }

  /** Records that the latest request was refused. A loan granted before stays usable. */
  void recordRefusal() {
    awaitingReply = false;
  }

  /** Records that a renewal request with the next round number was sent. */
  void recordRenewalSent(long nowNanos) {
    round++;
    sentNanos = nowNanos;
    awaitingReply = true;
  }
}

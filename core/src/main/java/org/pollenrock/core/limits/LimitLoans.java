package org.pollenrock.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/** Loans given and taken of one limit. */
final class LimitLoans {
  private final Map<LoanId, LentLoan> lent = new LinkedHashMap<>(4);
  private final Map<LoanId, BorrowedLoan> borrowed = new LinkedHashMap<>(4);
  private long nextRequestNanos;

  LimitLoans(long nowNanos) {
    nextRequestNanos = nowNanos;
  }

  Map<LoanId, LentLoan> lent() {
    return lent;
  }

  Map<LoanId, BorrowedLoan> borrowed() {
    return borrowed;
  }

  void removeExpiredLent(long nowNanos) {
    lent.values().removeIf(loan -> nowNanos >= loan.expiresAt());
  }

  long lentAmount(long nowNanos) {
    long sum = 0;
    for (LentLoan loan : lent.values()) {
      if (nowNanos < loan.expiresAt()) {
        sum += loan.amount();
      }
    }
    return sum;
  }

  long borrowedAmount(long nowNanos) {
    long sum = 0;
    for (BorrowedLoan loan : borrowed.values()) {
      if (loan.isUsable(nowNanos)) {
        sum += loan.amount();
      }
    }
    return sum;
  }

  void delayNextRequest(long intervalNanos, long nowNanos) {
    nextRequestNanos = nowNanos + intervalNanos;
  }

  boolean mayRequestLoan(long nowNanos) {
    return nowNanos >= nextRequestNanos && !hasPendingRequest();
  }

  /** Whether a request for a new loan has no reply yet. */
  boolean hasPendingRequest() {
    return borrowed.values().stream().anyMatch(loan -> !loan.granted());
  }

  /** Whether nothing of this limit need be remembered. */
  boolean isRemovable(long nowNanos) {
    return lent.isEmpty() && borrowed.isEmpty() && nowNanos >= nextRequestNanos;
  }
}

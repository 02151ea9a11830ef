package org.pollenrock.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/** Loans of one limit that this router has granted to or requested from peers. */
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
    lent.values().removeIf(loan -> nowNanos >= loan.expiryNanos());
  }

  /** Returns the sum of the granted loans that have not expired. */
  long lentAmount(long nowNanos) {
    long sum = 0;
    for (LentLoan loan : lent.values()) {
      if (nowNanos < loan.expiryNanos()) {
        sum += loan.amount();
      }
    }
    return sum;
  }

  /** Returns the sum of the borrowed amounts that this router may use. */
  long borrowedAmount(long nowNanos) {
    long sum = 0;
    for (BorrowedLoan loan : borrowed.values()) {
      if (loan.isUsable(nowNanos)) {
        sum += loan.amount();
      }
    }
    return sum;
  }

  /** Allows the next request for a new loan only after the interval. */
  void delayNextRequest(long intervalNanos, long nowNanos) {
    nextRequestNanos = nowNanos + intervalNanos;
  }

  boolean mayRequestLoan(long nowNanos) {
    return nowNanos >= nextRequestNanos && !hasPendingRequest();
  }

  /** Returns whether a request for a new loan has not been answered yet. */
  boolean hasPendingRequest() {
    return borrowed.values().stream().anyMatch(loan -> !loan.isGranted());
  }

  /** Returns whether there are no loans and the next request is allowed, so no state is needed. */
  boolean isRemovable(long nowNanos) {
    return lent.isEmpty() && borrowed.isEmpty() && nowNanos >= nextRequestNanos;
  }
}

package org.pollenrock.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/** Loans given and taken of one limit. */
final class KeyLoans {
  private final Map<LoanId, LentLoan> lent = new LinkedHashMap<>(4);
  private final Map<LoanId, BorrowedLoan> borrowed = new LinkedHashMap<>(4);
  private long nextAskAt;

  KeyLoans(long nowNanos) {
    nextAskAt = nowNanos;
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
      if (loan.usable(nowNanos)) {
        sum += loan.amount();
      }
    }
    return sum;
  }

  void asked(long intervalNanos, long nowNanos) {
    nextAskAt = nowNanos + intervalNanos;
  }

  boolean mayAsk(long nowNanos) {
    return nowNanos >= nextAskAt && !asking();
  }

  /** Whether a request for a new loan has no reply yet. */
  boolean asking() {
    return borrowed.values().stream().anyMatch(loan -> !loan.granted());
  }

  /** Whether nothing of this limit need be remembered. */
  boolean forgettable(long nowNanos) {
    return lent.isEmpty() && borrowed.isEmpty() && nowNanos >= nextAskAt;
  }
}

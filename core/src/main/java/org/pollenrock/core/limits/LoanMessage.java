package org.pollenrock.core.limits;

import java.util.Objects;

/** A message between the ledgers of two routers; any of them may be lost, late or duplicated. */
public sealed interface LoanMessage {
  /**
   * Identity of the loan.
   *
   * @return the id
   */
  LoanId id();

  /**
   * Limit of which a part is lent.
   *
   * @return the limit
   */
  LimitKey key();

  /**
   * Borrower to lender: asks for a loan (round 0) or for its renewal (round 1 and up).
   *
   * @param id identity of the loan
   * @param key the limit
   * @param amount wanted amount in the unit of the limit's dimension, positive
   * @param round number of this request for the loan
   */
  record Request(LoanId id, LimitKey key, long amount, long round) implements LoanMessage {
    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException when amount or round is out of range
     */
    public Request {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
      if (amount <= 0 || round < 0) {
        throw new IllegalArgumentException("amount " + amount + ", round " + round);
      }
    }
  }

  /**
   * Lender to borrower: the amount is lent for one loan duration after the round's request was
   * sent.
   *
   * @param id identity of the loan
   * @param key the limit
   * @param amount lent amount, positive
   * @param round round that is granted
   */
  record Grant(LoanId id, LimitKey key, long amount, long round) implements LoanMessage {
    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException when amount or round is out of range
     */
    public Grant {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
      if (amount <= 0 || round < 0) {
        throw new IllegalArgumentException("amount " + amount + ", round " + round);
      }
    }
  }

  /**
   * Lender to borrower: the round is not granted.
   *
   * @param id identity of the loan
   * @param key the limit
   * @param round round that is refused
   * @param loanUnknown whether the lender does not hold the loan, so the borrower must stop using
   *     it; otherwise it may use it until it expires
   */
  record Refusal(LoanId id, LimitKey key, long round, boolean loanUnknown) implements LoanMessage {
    /** Checks that all parts are present. */
    public Refusal {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Borrower to lender: the loan is no longer used and never will be.
   *
   * @param id identity of the loan
   * @param key the limit
   */
  record Return(LoanId id, LimitKey key) implements LoanMessage {
    /** Checks that all parts are present. */
    public Return {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
    }
  }
}

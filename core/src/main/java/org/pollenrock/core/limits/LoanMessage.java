package org.pollenrock.core.limits;

import java.util.Objects;

/**
 * Message between the {@link ShareLedger}s of two routers. Messages may be lost, delayed or
 * duplicated.
 */
public sealed interface LoanMessage {
  /**
   * Returns the id of the loan.
   *
   * @return id of the loan
   */
  LoanId id();

  /**
   * Returns the limit of which a part is lent.
   *
   * @return key of the limit
   */
  LimitKey key();

  /**
   * Requests a new loan (round 0) or the renewal of a loan (round 1 and up); sent by the borrower
   * to the lender.
   *
   * @param id id of the loan
   * @param key key of the limit
   * @param amount requested amount in the unit of the limit's dimension, positive
   * @param round number of the request: 0 for the first request of the loan, plus 1 per renewal
   */
  record Request(LoanId id, LimitKey key, long amount, long round) implements LoanMessage {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException when amount or round is out of range
     */
    public Request {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
      if (amount <= 0 || round < 0) {
        throw new IllegalArgumentException(
            "amount must be positive and round not negative: amount "
                + amount
                + ", round "
                + round);
      }
    }
  }

  /**
   * Grants a loan or its renewal for one loan duration, counted from the time at which the borrower
   * sent the request of this round; sent by the lender to the borrower.
   *
   * @param id id of the loan
   * @param key key of the limit
   * @param amount lent amount in the unit of the limit's dimension, positive
   * @param round round of the request that is granted
   */
  record Grant(LoanId id, LimitKey key, long amount, long round) implements LoanMessage {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException when amount or round is out of range
     */
    public Grant {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
      if (amount <= 0 || round < 0) {
        throw new IllegalArgumentException(
            "amount must be positive and round not negative: amount "
                + amount
                + ", round "
                + round);
      }
    }
  }

  /**
   * Refuses a loan or its renewal; sent by the lender to the borrower.
   *
   * @param id id of the loan
   * @param key key of the limit
   * @param round round of the request that is refused
   * @param loanUnknown true if the lender has no record of the loan, so that the borrower must stop
   *     using it at once; false if the borrower may use a granted loan until it expires
   */
  record Refusal(LoanId id, LimitKey key, long round, boolean loanUnknown) implements LoanMessage {
    /** Checks that no component is null. */
    public Refusal {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Returns a loan, which the borrower no longer uses; sent by the borrower to the lender.
   *
   * @param id id of the loan
   * @param key key of the limit
   */
  record Return(LoanId id, LimitKey key) implements LoanMessage {
    /** Checks that no component is null. */
    public Return {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(key, "key");
    }
  }
}

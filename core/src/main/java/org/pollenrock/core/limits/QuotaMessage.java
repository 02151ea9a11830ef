package org.pollenrock.core.limits;

import java.util.Objects;

/** Message about a transfer between the {@link QuotaLedger}s of two instances; may be lost. */
public sealed interface QuotaMessage {
  /**
   * Returns the customer whose quota is transferred.
   *
   * @return name of the customer
   */
  String customer();

  /**
   * Returns the number that the asking instance has given to the request.
   *
   * @return the number
   */
  long id();

  /**
   * Returns the amount in the unit of the quota.
   *
   * @return the amount, not negative and finite
   */
  double amount();

  /**
   * Asks for an amount.
   *
   * @param customer name of the customer
   * @param id number of the request
   * @param amount the wanted amount
   */
  record Request(String customer, long id, double amount) implements QuotaMessage {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException when the amount is out of range
     */
    public Request {
      requireValid(customer, amount);
    }
  }

  /**
   * Transfers an amount, which the sender has deducted from its own.
   *
   * @param customer name of the customer
   * @param id number of the request that is answered
   * @param amount the transferred amount, at most the wanted one; 0 if there is none to spare
   */
  record Grant(String customer, long id, double amount) implements QuotaMessage {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException when the amount is out of range
     */
    public Grant {
      requireValid(customer, amount);
    }
  }

  private static void requireValid(String customer, double amount) {
    Objects.requireNonNull(customer, "customer");
    if (!(amount >= 0) || !Double.isFinite(amount)) {
      throw new IllegalArgumentException("amount must be finite and not negative: " + amount);
    }
  }
}

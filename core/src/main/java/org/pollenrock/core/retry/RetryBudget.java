package org.pollenrock.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.pollenrock.core.model.CustomerId;

/**
 * Budget that limits the retries of this router, in total and per customer.
 *
 * <p>Each first attempt earns a percentage of one retry. Each retry costs one from the total
 * balance and one from the balance of its customer, so a customer whose requests all fail cannot
 * use up the retries of other customers. If the number of customers exceeds a limit, the balance of
 * the least recently active one is discarded; that customer starts again with the initial balance,
 * and its retries are still limited by the total balance.
 */
public final class RetryBudget {
  /** Cost of one retry. Balances are in hundredths of a retry, so percentages add up exactly. */
  private static final long RETRY_COST = 100;

  private final RetryBudgetSettings settings;
  private final Map<CustomerId, Long> balances = new LinkedHashMap<>(16, 0.75f, true);
  private long totalBalance;

  /**
   * Creates a budget with the initial balance.
   *
   * @param settings ratio and limits
   */
  public RetryBudget(RetryBudgetSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.totalBalance = settings.initialRetries() * RETRY_COST;
  }

  /**
   * Records a first attempt, which earns a fraction of a retry.
   *
   * @param customer customer that made the request
   */
  public void recordFirstAttempt(CustomerId customer) {
    totalBalance = credit(totalBalance);
    storeBalance(customer, credit(balanceOf(customer)));
  }

  /**
   * Charges one retry to the total balance and to the customer's balance, if both suffice.
   *
   * @param customer customer that made the request
   * @return whether the retry was charged; if not, the balances are unchanged
   */
  public boolean trySpendRetry(CustomerId customer) {
    long own = balanceOf(customer);
    if (totalBalance < RETRY_COST || own < RETRY_COST) {
      return false;
    }
    totalBalance -= RETRY_COST;
    storeBalance(customer, own - RETRY_COST);
    return true;
  }

  /**
   * Returns the number of whole retries that a customer could make now.
   *
   * @param customer the customer
   * @return the smaller of the customer's balance and the total balance, in whole retries
   */
  public long availableRetries(CustomerId customer) {
    return Math.min(totalBalance, balanceOf(customer)) / RETRY_COST;
  }

  /**
   * Returns the number of customers with a stored balance.
   *
   * @return the number of customers
   */
  public int size() {
    return balances.size();
  }

  private long balanceOf(CustomerId customer) {
    Long known = balances.get(customer);
    return known == null ? settings.initialRetries() * RETRY_COST : known;
  }

  private long credit(long balance) {
    return Math.min(settings.maxRetries() * RETRY_COST, balance + settings.percent());
  }

  private void storeBalance(CustomerId customer, long balance) {
    balances.put(customer, balance);
    if (balances.size() > settings.maxCustomers()) {
      balances.remove(balances.keySet().iterator().next());
    }
  }
}

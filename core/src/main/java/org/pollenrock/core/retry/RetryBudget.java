package org.pollenrock.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.pollenrock.core.model.CustomerId;

/**
 * Retries that this router may still make, in total and for each customer.
 *
 * <p>Each first attempt earns a percentage of one retry; each retry costs one from the total and
 * one from its customer. A customer whose requests all fail therefore cannot use up the retries of
 * others. The least recently active customers are forgotten above a bound; a forgotten customer
 * starts again with the initial balance, which the total still limits.
 */
public final class RetryBudget {
  /** Balances are counted in hundredths of a retry, so that percentages add up exactly. */
  private static final long RETRY_COST = 100;

  private final RetryBudgetSettings settings;
  private final Map<CustomerId, Long> balances = new LinkedHashMap<>(16, 0.75f, true);
  private long totalBalance;

  /**
   * Creates a budget with the initial balance.
   *
   * @param settings ratio and bounds
   */
  public RetryBudget(RetryBudgetSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.totalBalance = settings.initialRetries() * RETRY_COST;
  }

  /**
   * Counts a first attempt.
   *
   * @param customer whose request it is
   */
  public void recordFirstAttempt(CustomerId customer) {
    totalBalance = credit(totalBalance);
    storeBalance(customer, credit(balanceOf(customer)));
  }

  /**
   * Pays for a retry.
   *
   * @param customer whose request it is
   * @return false, without a change, when either balance holds less than one retry
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
   * Whole retries that a customer could make now.
   *
   * @param customer the customer
   * @return the smaller of its own balance and the total
   */
  public long availableRetries(CustomerId customer) {
    return Math.min(totalBalance, balanceOf(customer)) / RETRY_COST;
  }

  /**
   * Number of customers with a remembered balance.
   *
   * @return the number
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

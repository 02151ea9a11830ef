package org.pollenrock.core.retry;

/**
 * Ratio and limits of a retry budget.
 *
 * @param percent number of retries earned by 100 first attempts, 0 to 100
 * @param initialRetries initial balance of the budget and of each new customer, so that the first
 *     failure can be retried at low traffic
 * @param maxRetries maximum balance, which limits a burst of retries after a period without
 *     failures
 * @param maxCustomers maximum number of customers whose balance is stored
 */
public record RetryBudgetSettings(
    int percent, long initialRetries, long maxRetries, int maxCustomers) {
  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public RetryBudgetSettings {
    if (percent < 0 || percent > 100) {
      throw new IllegalArgumentException("percent must be between 0 and 100: " + percent);
    }
    if (initialRetries < 0 || maxRetries < initialRetries) {
      throw new IllegalArgumentException(
          "initialRetries " + initialRetries + " must be between 0 and maxRetries " + maxRetries);
    }
    if (maxCustomers < 1) {
      throw new IllegalArgumentException("maxCustomers must be positive: " + maxCustomers);
    }
  }
}

package org.pollenrock.core.retry;

/**
 * Ratio and bounds of a retry budget.
 *
 * @param percent retries earned by 100 first attempts, 0 to 100
 * @param initialRetries balance at the start and of a new customer, so that a first failure can be
 *     retried at low traffic
 * @param maxRetries highest balance, which bounds a burst of retries after a quiet time
 * @param maxCustomers number of customers whose balance is remembered
 */
public record RetryBudgetSettings(
    int percent, long initialRetries, long maxRetries, int maxCustomers) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public RetryBudgetSettings {
    if (percent < 0 || percent > 100) {
      throw new IllegalArgumentException("percent outside 0..100: " + percent);
    }
    if (initialRetries < 0 || maxRetries < initialRetries) {
      throw new IllegalArgumentException(
          "initial balance " + initialRetries + " outside 0.." + maxRetries);
    }
    if (maxCustomers < 1) {
      throw new IllegalArgumentException("maxCustomers must be positive: " + maxCustomers);
    }
  }
}

package org.pollenrock.core.order;

/**
 * Limits on how many servers a rollout changes at once, on failed loads and on waiting times.
 *
 * @param maxConcurrentLoads maximum number of servers that load, or drain before a load, at the
 *     same time
 * @param minAvailableShare minimum share of the servers of a model that keep serving, 0 to 1
 * @param maxFailures number of failed loads at which the rollout stops
 * @param loadTimeoutNanos time after which an ordered load counts as failed if the server does not
 *     report the model
 * @param settleNanos time for which a new lease holder only receives reports, so that loads ordered
 *     by the previous holder appear in reports and its drains expire; longer than {@link
 *     RolloutPlanner#DRAIN_HOLD_NANOS}
 * @param drainSettleNanos time after the start of a drain from which a report without running
 *     requests means that the server is drained; covers the delay until all routers have received
 *     the drain and the age of a report when it is received
 * @param maxReportAgeNanos age from which a report is ignored, and interval at which an unconfirmed
 *     order is repeated
 */
public record RolloutLimits(
    int maxConcurrentLoads,
    double minAvailableShare,
    int maxFailures,
    long loadTimeoutNanos,
    long settleNanos,
    long drainSettleNanos,
    long maxReportAgeNanos) {
  /**
   * Checks that the limits are in range.
   *
   * @throws IllegalArgumentException if a limit is out of range
   */
  public RolloutLimits {
    if (maxConcurrentLoads < 1 || maxFailures < 1) {
      throw new IllegalArgumentException("maxConcurrentLoads and maxFailures must be positive");
    }
    if (!(minAvailableShare >= 0 && minAvailableShare <= 1)) {
      throw new IllegalArgumentException("minAvailableShare must be between 0 and 1");
    }
    if (Math.min(loadTimeoutNanos, maxReportAgeNanos) <= 0 || drainSettleNanos < 0) {
      throw new IllegalArgumentException(
          "loadTimeoutNanos and maxReportAgeNanos must be positive, drainSettleNanos not negative");
    }
    if (settleNanos <= RolloutPlanner.DRAIN_HOLD_NANOS) {
      throw new IllegalArgumentException("settleNanos must be longer than a drain is held");
    }
  }

  /**
   * Returns how many servers of a model must keep serving.
   *
   * @param servers number of servers of the model
   * @return the minimum available share of that number, rounded up
   */
  public int minAvailable(int servers) {
    // 1e-9 keeps the rounding error of the product from raising the result by 1.
    return (int) Math.ceil(minAvailableShare * servers - 1e-9);
  }
}

package org.pollenrock.core.order;

/**
 * How carefully servers are changed.
 *
 * @param maxConcurrentLoads servers that may load or drain for a load at once
 * @param minAvailableShare share of a model's servers that must keep serving, 0 to 1
 * @param maxFailures failed loads at which the rollout stops
 * @param loadTimeoutNanos time after which an ordered load that is not reported counts as failed
 * @param settleNanos time that a new lease holder only listens, so that loads ordered by its
 *     predecessor show in reports and its drains end; longer than a drain holds
 * @param drainSettleNanos time after the start of a drain from which a report without running
 *     requests means that the server is drained; covers the delay of telling all routers and the
 *     age of a report when it arrives
 * @param maxReportAgeNanos age at which a report no longer counts
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
   * Checks the limits.
   *
   * @throws IllegalArgumentException when a limit is out of range
   */
  public RolloutLimits {
    if (maxConcurrentLoads < 1 || maxFailures < 1) {
      throw new IllegalArgumentException("counts must be positive");
    }
    if (!(minAvailableShare >= 0 && minAvailableShare <= 1)) {
      throw new IllegalArgumentException("share must lie between 0 and 1");
    }
    if (Math.min(loadTimeoutNanos, maxReportAgeNanos) <= 0 || drainSettleNanos < 0) {
      throw new IllegalArgumentException("times must not be negative");
    }
    if (settleNanos <= RolloutPlanner.DRAIN_HOLD_NANOS) {
      throw new IllegalArgumentException("drains of a predecessor must end while settling");
    }
  }

  /**
   * Servers that must keep serving.
   *
   * @param servers servers of the model
   * @return the share of them, rounded up
   */
  public int minAvailable(int servers) {
    return (int) Math.ceil(minAvailableShare * servers - 1e-9);
  }
}

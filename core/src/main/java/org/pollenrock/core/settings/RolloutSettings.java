package org.pollenrock.core.settings;

/**
 * How new weights of a model are rolled out.
 *
 * @param maxConcurrentLoads greatest number of servers that load at once
 * @param minAvailable share of the model's servers that keep serving, in thousandths
 * @param maxFailures failed loads after which the rollout stops
 */
public record RolloutSettings(long maxConcurrentLoads, long minAvailable, long maxFailures) {
  /** Range of the number of loads at once. */
  public static final ValueRange LOADS_RANGE = ValueRange.of(ValueType.COUNT, "1", "1000");

  /** Range of the share that keeps serving. */
  public static final ValueRange AVAILABLE_RANGE = ValueRange.of(ValueType.DECIMAL, "0", "1");

  /** Range of the number of failures. */
  public static final ValueRange FAILURES_RANGE = ValueRange.of(ValueType.COUNT, "0", "1000");

  /** One load at a time, half of the servers keep serving, stop at the first failure. */
  public static final RolloutSettings DEFAULT = new RolloutSettings(1, 500, 1);

  /**
   * Share of the model's servers that keep serving.
   *
   * @return 0 to 1
   */
  public double minAvailableShare() {
    return (double) minAvailable / ValueType.DECIMAL_SCALE;
  }
}

package org.pollenrock.core.limits;

/**
 * Limits of one scope over all routers; {@link #UNLIMITED} where there is none.
 *
 * @param milliRequestsPerSecond thousandths of a request per second
 * @param burstRequests requests that may come at once after a pause
 * @param concurrentRequests requests that may run at the same time
 * @param promptTokensPerSecond prompt tokens per second; the burst is the amount of one second
 */
public record LimitValues(
    long milliRequestsPerSecond,
    long burstRequests,
    long concurrentRequests,
    long promptTokensPerSecond) {
  /** Stands for no limit. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException when one is negative, or a request rate has no burst
   */
  public LimitValues {
    if (milliRequestsPerSecond < 0
        || burstRequests < 0
        || concurrentRequests < 0
        || promptTokensPerSecond < 0) {
      throw new IllegalArgumentException("limits must not be negative");
    }
    if (milliRequestsPerSecond != UNLIMITED && burstRequests == UNLIMITED) {
      throw new IllegalArgumentException("a request rate needs a burst");
    }
  }

  /**
   * Value of one dimension.
   *
   * @param dimension the dimension
   * @return its limit in the dimension's unit
   */
  public long value(LimitDimension dimension) {
    return switch (dimension) {
      case REQUEST_RATE -> milliRequestsPerSecond;
      case CONCURRENT_REQUESTS -> concurrentRequests;
      case PROMPT_TOKEN_RATE -> promptTokensPerSecond;
    };
  }
}

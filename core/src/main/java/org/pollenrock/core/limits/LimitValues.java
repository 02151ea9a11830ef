package org.pollenrock.core.limits;

/**
 * Values of the limits of one scope for all routers together; {@link #UNLIMITED} where no limit
 * applies.
 *
 * @param milliRequestsPerSecond request rate in thousandths of a request per second
 * @param burstRequests number of requests that may arrive at once after a pause
 * @param concurrentRequests number of requests that may run at the same time
 * @param promptTokensPerSecond prompt tokens per second; the burst is the amount of one second
 */
public record LimitValues(
    long milliRequestsPerSecond,
    long burstRequests,
    long concurrentRequests,
    long promptTokensPerSecond) {
  /** Value of a limit that does not apply. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /**
   * Validates the values.
   *
   * @throws IllegalArgumentException when a value is negative, or the request rate is limited and
   *     the burst is not
   */
  public LimitValues {
    if (milliRequestsPerSecond < 0
        || burstRequests < 0
        || concurrentRequests < 0
        || promptTokensPerSecond < 0) {
      throw new IllegalArgumentException("limit values must not be negative");
    }
    if (milliRequestsPerSecond != UNLIMITED && burstRequests == UNLIMITED) {
      throw new IllegalArgumentException(
          "burstRequests must be limited when milliRequestsPerSecond is limited");
    }
  }

  /**
   * Returns the limit of one dimension.
   *
   * @param dimension the dimension
   * @return the limit in the unit of the dimension, or {@link #UNLIMITED}
   */
  public long value(LimitDimension dimension) {
    return switch (dimension) {
      case REQUEST_RATE -> milliRequestsPerSecond;
      case CONCURRENT_REQUESTS -> concurrentRequests;
      case PROMPT_TOKEN_RATE -> promptTokensPerSecond;
    };
  }
}

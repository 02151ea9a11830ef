package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.model.CustomerId;

/**
 * Call for which an attempt failed, with the outcome of its earlier attempts.
 *
 * @param customer customer that made the call
 * @param idempotent whether running the call twice has the same effect as running it once
 * @param attempts number of attempts made, including the failed one
 * @param earlierRunState combined run state of all attempts before the failed one; {@code NOT_RUN}
 *     if there was none
 * @param remainingNanos time until the deadline in nanoseconds; negative if the deadline has passed
 */
public record CallProgress(
    CustomerId customer,
    boolean idempotent,
    int attempts,
    RunState earlierRunState,
    long remainingNanos) {
  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the number of attempts is not positive
   */
  public CallProgress {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(earlierRunState, "earlierRunState");
    if (attempts < 1) {
      throw new IllegalArgumentException("attempts must be positive: " + attempts);
    }
  }
}

package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.model.CustomerId;

/**
 * A call and what its earlier attempts came to.
 *
 * @param customer whose call it is
 * @param idempotent whether running it twice has the effect of running it once
 * @param attempts number of attempts made, the failed one included
 * @param earlierRunState what is known of the execution of all attempts before the failed one;
 *     {@code NOT_RUN} when there was none
 * @param remainingNanos time to the deadline, negative when it has passed
 */
public record CallProgress(
    CustomerId customer,
    boolean idempotent,
    int attempts,
    RunState earlierRunState,
    long remainingNanos) {
  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when no attempt is counted
   */
  public CallProgress {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(earlierRunState, "earlierRunState");
    if (attempts < 1) {
      throw new IllegalArgumentException("attempts must be positive: " + attempts);
    }
  }
}

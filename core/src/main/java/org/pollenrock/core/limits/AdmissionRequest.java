package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * A request that asks for a slot.
 *
 * @param id number that is unique among the waiting and running requests of the queue
 * @param customer whose request it is
 * @param weight weight of the customer, positive
 * @param priority class
 * @param cost work that it is charged to its customer, such as prompt tokens; positive
 * @param expectedTtftNanos expected time from dispatch to the first token, not negative
 * @param deadlineNanos latest time of the first token, on the clock of {@code nowNanos}; {@link
 *     #NO_DEADLINE} for none
 */
public record AdmissionRequest(
    long id,
    CustomerId customer,
    double weight,
    Priority priority,
    long cost,
    long expectedTtftNanos,
    long deadlineNanos) {
  /** Stands for no deadline. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when weight, cost or expected time is out of range
   */
  public AdmissionRequest {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(priority, "priority");
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive: " + weight);
    }
    if (cost <= 0 || expectedTtftNanos < 0) {
      throw new IllegalArgumentException("cost " + cost + ", TTFT " + expectedTtftNanos);
    }
  }

  /** Latest dispatch that can meet the deadline. */
  long latestDispatchNanos() {
    return deadlineNanos == NO_DEADLINE ? NO_DEADLINE : deadlineNanos - expectedTtftNanos;
  }
}

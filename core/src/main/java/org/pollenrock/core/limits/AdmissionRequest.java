package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * A request for a slot of an {@link AdmissionQueue}.
 *
 * @param id id that is unique among the waiting and running requests of the queue
 * @param customer customer that the request belongs to
 * @param weight weight of the customer in fair queueing, positive
 * @param priority priority class
 * @param cost work that is charged to the customer, such as the number of prompt tokens; positive
 * @param expectedTtftNanos expected time from dispatch to the first token, not negative
 * @param deadlineNanos latest time of the first token, on the same clock as the {@code nowNanos}
 *     parameters of the queue; {@link #NO_DEADLINE} if the request has no deadline
 */
public record AdmissionRequest(
    long id,
    CustomerId customer,
    double weight,
    Priority priority,
    long cost,
    long expectedTtftNanos,
    long deadlineNanos) {
  /** Value of {@code deadlineNanos} for a request without a deadline. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException when weight, cost or expected TTFT is out of range
   */
  public AdmissionRequest {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(priority, "priority");
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive and finite: " + weight);
    }
    if (cost <= 0 || expectedTtftNanos < 0) {
      throw new IllegalArgumentException(
          "cost must be positive and expectedTtftNanos not negative: cost "
              + cost
              + ", expectedTtftNanos "
              + expectedTtftNanos);
    }
  }

  /**
   * Returns the latest dispatch time at which the request can still meet its deadline, or {@link
   * #NO_DEADLINE}.
   */
  long latestDispatchNanos() {
    return deadlineNanos == NO_DEADLINE ? NO_DEADLINE : deadlineNanos - expectedTtftNanos;
  }
}

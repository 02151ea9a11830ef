package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Decides which requests a stopping instance may still send: those whose responses arrive before
 * the time at which it answers the rest itself.
 *
 * @param answerNanos time at which the instance answers the requests that are still in progress
 */
public record StopPlan(long answerNanos) {
  /**
   * Delay after which a refused caller should retry, in milliseconds. Other instances can serve it
   * at once.
   */
  public static final long RETRY_AFTER_MILLIS = 20;

  /**
   * Returns whether a request may be sent now.
   *
   * <p>A non-repeatable request must reach its deadline before the instance stops, since its caller
   * can't send it again once it may have run. For the others the time that such requests usually
   * take counts: if one takes longer, its caller can send it again.
   *
   * @param request the request
   * @param usualNanos time that nearly all requests to the service take; empty if it is not known
   * @param nowNanos current time
   * @return whether the response is expected in time
   */
  public boolean permitsSend(DispatchRequest request, OptionalLong usualNanos, long nowNanos) {
    long limitNanos = request.deadlineNanos() - nowNanos;
    long neededNanos =
        request.repeatable() ? Math.min(limitNanos, usualNanos.orElse(limitNanos)) : limitNanos;
    return neededNanos <= answerNanos - nowNanos;
  }
}

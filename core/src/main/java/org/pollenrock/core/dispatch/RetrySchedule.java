package org.pollenrock.core.dispatch;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.pollenrock.core.route.Route;

/**
 * Chooses when refused callers of one service return.
 *
 * <p>The first returns when the work of its urgency that waits now is expected to be dispatched,
 * the next ones at the rate at which work is finished, so that there is room for each of them.
 * Callers respect no delay beyond a part of their remaining time: those for whom no room is
 * expected before are spread over the second half of that part.
 */
final class RetrySchedule {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ServiceBacklog backlog;
  private final long[] lastReturnNanos = new long[Route.LEAST_URGENT + 1];

  RetrySchedule(ServiceBacklog backlog) {
    this.backlog = backlog;
    Arrays.fill(lastReturnNanos, Long.MIN_VALUE);
  }

  /** Returns the delay after which a refused caller should retry, in milliseconds, at least 1. */
  long retryAfterMillis(DispatchRequest request, long nowNanos) {
    int urgency = request.urgency();
    long usualMillis = AdmissionPolicy.retryAfterMillis(request, nowNanos);
    OptionalLong drainNanos = backlog.drainNanos(urgency, nowNanos);
    OptionalDouble workPerSecond = backlog.workPerSecond(urgency, nowNanos);
    if (backlog.work(urgency) == 0 || drainNanos.isEmpty() || workPerSecond.isEmpty()) {
      return usualMillis;
    }
    long runNanos = (long) (request.work() * NANOS_PER_SECOND / workPerSecond.getAsDouble());
    long returnNanos =
        Math.max(nowNanos + drainNanos.getAsLong(), lastReturnNanos[urgency] + runNanos);
    long delayMillis = Math.ceilDiv(returnNanos - nowNanos, NANOS_PER_MILLI);
    if (delayMillis > AdmissionPolicy.maxRetryAfterMillis(request, nowNanos)) {
      return AdmissionPolicy.latestRetryAfterMillis(request, nowNanos);
    }
    lastReturnNanos[urgency] = returnNanos;
    return Math.max(usualMillis, delayMillis);
  }
}

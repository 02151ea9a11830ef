package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.route.Route;

/**
 * Estimates which responses will start after the target latency of their route.
 *
 * <p>While engines have more prompts to read than they can in time, serving them in the order of
 * arrival makes all of them late. Those that are late in any case are therefore sent with a lower
 * urgency, so that the others are still read in time.
 */
public final class LatenessEstimator {
  /**
   * Share of the target latency that even the longest prompt may wait without counting as late, so
   * that long prompts are served under load too.
   */
  private static final double MIN_WAIT_SHARE = 0.3;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, ReadingSpeed> speeds = new HashMap<>();

  /** Creates an estimator that assumes slow engines. */
  LatenessEstimator() {}

  /**
   * Returns whether the response to a long prompt would start after the target latency. Short
   * prompts delay others only for a moment and never count as late.
   *
   * @param request the request
   * @param waitTokens backlog of the best server, in tokens
   * @param readTokens tokens of the prompt that the server has to read
   * @param nowNanos current time
   * @return whether the response would be late
   */
  boolean isLate(DispatchRequest request, double waitTokens, double readTokens, long nowNanos) {
    if (request.promptTokens() <= Route.SHORT_PROMPT_MAX_TOKENS) {
      return false;
    }
    ReadingSpeed speed = speed(request);
    double targetNanos = request.targetLatencyMillis() * NANOS_PER_MILLI;
    double maxWaitNanos =
        Math.max(targetNanos - speed.nanosFor(readTokens), MIN_WAIT_SHARE * targetNanos);
    double waitedNanos = nowNanos - request.arrivalNanos();
    return waitedNanos + speed.nanosFor(waitTokens) > maxWaitNanos;
  }

  /**
   * Records how long a server took from a request to the start of its response.
   *
   * @param request the request
   * @param choice the choice of the server
   * @param elapsedNanos time in nanoseconds
   */
  public void recordResponse(DispatchRequest request, Selection.Chosen choice, long elapsedNanos) {
    if (!choice.deferred()) {
      speed(request).record(choice.backlogTokens(), elapsedNanos);
    }
  }

  private ReadingSpeed speed(DispatchRequest request) {
    return speeds.computeIfAbsent(request.service(), name -> new ReadingSpeed());
  }
}

package org.pollenrock.core.dispatch;

import org.pollenrock.core.placement.RendezvousHash;

/** Decides how long a request may wait in the queue, and when a refused caller should retry. */
public final class AdmissionPolicy {
  /**
   * Share of the time until the deadline for which a request may wait. The rest is reserved for
   * running the request and for a retry by the caller.
   */
  private static final double MAX_WAIT_SHARE = 0.3;

  /**
   * Share of the time until the deadline for which a request may wait if it is known how fast
   * waiting requests leave, so that those are refused at once that would wait longer.
   */
  private static final double MAX_EXPECTED_WAIT_SHARE = 0.5;

  /** Maximum number of waiting requests per slot of the service; further requests are refused. */
  private static final double MAX_WAITING_PER_SLOT = 2;

  /** Minimum retry delay sent to a refused caller, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 150;

  /**
   * Range of the pseudo-random addition to the retry delay, in milliseconds, which keeps refused
   * callers from retrying at the same time.
   */
  private static final long RETRY_AFTER_JITTER_MILLIS = 350;

  /**
   * Divisor of the remaining time that limits the retry delay: the platform specifies that callers
   * respect delays of up to a third of their remaining time.
   */
  private static final int MAX_RETRY_AFTER_DIVISOR = 3;

  private AdmissionPolicy() {}

  /**
   * Returns the time until which a request may wait in the queue.
   *
   * @param request the request
   * @param waitKnown whether the expected wait of the request is known
   * @param nowNanos current time
   * @return time at which the request expires from the queue, in nanoseconds
   */
  public static long queueDeadlineNanos(DispatchRequest request, boolean waitKnown, long nowNanos) {
    long remainingNanos = request.deadlineNanos() - nowNanos;
    double share = waitKnown ? MAX_EXPECTED_WAIT_SHARE : MAX_WAIT_SHARE;
    return nowNanos + (long) (remainingNanos * share);
  }

  /**
   * Returns whether a request that finds no free server may wait for one.
   *
   * @param request the request
   * @param queue queue of the service
   * @param slots total number of slots of all servers of the service
   * @return whether the request may be queued
   */
  public static boolean mayQueue(DispatchRequest request, DispatchQueue queue, int slots) {
    return queue.countAhead(request.urgency()) < MAX_WAITING_PER_SLOT * Math.max(1, slots);
  }

  /**
   * Returns the delay after which a refused caller should retry.
   *
   * @param request the request
   * @param nowNanos current time
   * @return delay in milliseconds, at least 1
   */
  public static long retryAfterMillis(DispatchRequest request, long nowNanos) {
    return Math.clamp(
        MIN_RETRY_AFTER_MILLIS + jitterMillis(request), 1, maxRetryAfterMillis(request, nowNanos));
  }

  /**
   * Returns the longest delay that a refused caller respects.
   *
   * @param request the request
   * @param nowNanos current time
   * @return delay in milliseconds, at least 1
   */
  static long maxRetryAfterMillis(DispatchRequest request, long nowNanos) {
    long remainingMillis = (request.deadlineNanos() - nowNanos) / 1_000_000;
    return Math.max(1, remainingMillis / MAX_RETRY_AFTER_DIVISOR);
  }

  /**
   * Returns the delay of a caller for whom no room is expected within the time that it respects:
   * from half of that time to all of it, different for each request.
   *
   * @param request the request
   * @param nowNanos current time
   * @return delay in milliseconds, at least 1
   */
  static long latestRetryAfterMillis(DispatchRequest request, long nowNanos) {
    long maxMillis = maxRetryAfterMillis(request, nowNanos);
    long spread = Long.remainderUnsigned(RendezvousHash.hash(request.id()), maxMillis / 2 + 1);
    return maxMillis - spread;
  }

  /**
   * Returns the delay after which a caller should retry whose request no server accepts for some
   * time.
   *
   * @param request the request
   * @param holdNanos time until a server accepts requests again
   * @return delay in milliseconds
   */
  static long afterHoldMillis(DispatchRequest request, long holdNanos) {
    return Math.ceilDiv(holdNanos, 1_000_000L) + jitterMillis(request);
  }

  private static long jitterMillis(DispatchRequest request) {
    return Long.remainderUnsigned(RendezvousHash.hash(request.id()), RETRY_AFTER_JITTER_MILLIS);
  }
}

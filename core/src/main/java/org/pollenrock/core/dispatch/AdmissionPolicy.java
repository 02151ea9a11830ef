package org.pollenrock.core.dispatch;

import org.pollenrock.core.placement.RendezvousHash;

/** Decides how long a request may wait in the queue, and when a refused caller should retry. */
public final class AdmissionPolicy {
  /**
   * Share of the time until the deadline for which a request may wait. The rest is reserved for
   * running the request and for a retry by the caller.
   */
  private static final double MAX_WAIT_SHARE = 0.3;

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
   * @param nowNanos current time
   * @return time at which the request expires from the queue, in nanoseconds
   */
  public static long queueDeadlineNanos(DispatchRequest request, long nowNanos) {
    long remainingNanos = request.deadlineNanos() - nowNanos;
    return nowNanos + (long) (remainingNanos * MAX_WAIT_SHARE);
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
    long remainingMillis = (request.deadlineNanos() - nowNanos) / 1_000_000;
    return Math.clamp(
        MIN_RETRY_AFTER_MILLIS + jitterMillis(request),
        1,
        Math.max(1, remainingMillis / MAX_RETRY_AFTER_DIVISOR));
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

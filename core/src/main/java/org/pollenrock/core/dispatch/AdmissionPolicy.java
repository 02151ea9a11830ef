package org.pollenrock.core.dispatch;

import org.pollenrock.core.placement.RendezvousHash;

/** Decides how long a request may wait for a server, and when a refused caller may come back. */
public final class AdmissionPolicy {
  /**
   * Part of the time left for which a request waits at most; the rest is kept for the run and for a
   * further try of the caller.
   */
  private static final double MAX_WAIT_SHARE = 0.3;

  /** Waiting requests for each slot of the service beyond which a request is refused at once. */
  private static final double MAX_WAITING_PER_SLOT = 2;

  /** Shortest time after which a refused caller is asked to come back, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 150;

  /** Spread of that time, so that refused callers don't return together, in milliseconds. */
  private static final long RETRY_AFTER_JITTER_MILLIS = 350;

  /** Callers heed times up to this part of what they have left, as the platform states it. */
  private static final int MAX_RETRY_AFTER_DIVISOR = 3;

  private AdmissionPolicy() {}

  /**
   * Time until which a request may wait.
   *
   * @param request the request
   * @param nowNanos current time
   * @return the time, at the latest
   */
  public static long queueDeadlineNanos(DispatchRequest request, long nowNanos) {
    long left = request.deadlineNanos() - nowNanos;
    return nowNanos + (long) (left * MAX_WAIT_SHARE);
  }

  /**
   * Tells whether a request that finds no free server may wait for one.
   *
   * @param request the request
   * @param queue requests that wait already
   * @param slots slots of all servers of the service
   * @return whether it may wait
   */
  public static boolean mayQueue(DispatchRequest request, DispatchQueue queue, int slots) {
    return queue.countAhead(request.urgency()) < MAX_WAITING_PER_SLOT * Math.max(1, slots);
  }

  /**
   * Time after which a refused caller should come back.
   *
   * @param request the request
   * @param nowNanos current time
   * @return milliseconds, at least 1
   */
  public static long retryAfterMillis(DispatchRequest request, long nowNanos) {
    long leftMillis = (request.deadlineNanos() - nowNanos) / 1_000_000;
    long spread =
        Long.remainderUnsigned(RendezvousHash.hash(request.id()), RETRY_AFTER_JITTER_MILLIS);
    return Math.clamp(
        MIN_RETRY_AFTER_MILLIS + spread, 1, Math.max(1, leftMillis / MAX_RETRY_AFTER_DIVISOR));
  }
}

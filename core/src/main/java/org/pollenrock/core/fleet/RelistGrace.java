package org.pollenrock.core.fleet;

/**
 * Grace period for servers that are missing in a list that is available again. Their entries may
 * have expired while the list was out, and live servers register again soon after its return.
 *
 * <p>The list is usually read some time after its return. The grace period must not add to that
 * time without bound: contact may have been back since shortly after the last failed attempt, and
 * once it has been back for the contact limit, a server that has left must get no request.
 *
 * @param contactNanos contact limit in nanoseconds
 */
public record RelistGrace(long contactNanos) {
  /** Time after the return of the list by which live servers have registered again. */
  public static final long REGISTRATION_NANOS = 2_000_000_000L;

  /** Time between the choice of a server and the arrival of the request there. */
  public static final long SEND_MARGIN_NANOS = 500_000_000L;

  /**
   * Returns the length of the grace period.
   *
   * @param maxAvailableNanos longest time for which the list may have been available again
   * @return time from now on in nanoseconds; 0 if there is none
   */
  public long remainingNanos(long maxAvailableNanos) {
    return Math.clamp(contactNanos - SEND_MARGIN_NANOS - maxAvailableNanos, 0, REGISTRATION_NANOS);
  }
}

package org.pollenrock.core.membership;

/**
 * Timeouts of the membership of routers and backend servers.
 *
 * @param livenessTimeoutNanos time for which a server's report that it is live remains valid;
 *     limits how long an unreachable server that is leaving still receives requests
 * @param maxListLagNanos maximum time by which the instance list can lag behind the restart of a
 *     server
 * @param entryRetentionNanos time for which the entry of a server or router that is gone is kept,
 *     with its incarnation
 * @param heartbeatTimeoutNanos time without a heartbeat after which a router counts as unreachable
 */
public record MembershipSettings(
    long livenessTimeoutNanos,
    long maxListLagNanos,
    long entryRetentionNanos,
    long heartbeatTimeoutNanos) {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Checks that all times are positive.
   *
   * @throws IllegalArgumentException if a time is not positive
   */
  public MembershipSettings {
    long smallest = Math.min(livenessTimeoutNanos, Math.min(maxListLagNanos, entryRetentionNanos));
    if (Math.min(smallest, heartbeatTimeoutNanos) <= 0) {
      throw new IllegalArgumentException("membership times must be positive");
    }
  }

  /**
   * Returns the default values. A report of a server is valid for 3 s; a router is unreachable
   * after 3 heartbeat intervals of 500 ms. Both values are defined in the design page.
   *
   * @return the default settings
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        3 * NANOS_PER_SECOND,
        10 * NANOS_PER_SECOND,
        600 * NANOS_PER_SECOND,
        3 * NANOS_PER_SECOND / 2);
  }
}

package org.pollenrock.core.membership;

/**
 * Times of membership.
 *
 * @param livenessTimeoutNanos how long a server's word that it is live counts; bounds how long a
 *     leaving server that cannot be heard still gets work
 * @param maxListLagNanos how far the list may lag behind a restart of a server
 * @param entryRetentionNanos how long the incarnation of a server that is gone is remembered
 * @param heartbeatTimeoutNanos silence after which a router counts as unreachable
 */
public record MembershipSettings(
    long livenessTimeoutNanos,
    long maxListLagNanos,
    long entryRetentionNanos,
    long heartbeatTimeoutNanos) {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException when a time is not positive
   */
  public MembershipSettings {
    long smallest = Math.min(livenessTimeoutNanos, Math.min(maxListLagNanos, entryRetentionNanos));
    if (Math.min(smallest, heartbeatTimeoutNanos) <= 0) {
      throw new IllegalArgumentException("times must be positive");
    }
  }

  /**
   * Values of the design page: 3 s for servers, 3 heartbeats of 500 ms for routers.
   *
   * @return the defaults
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        3 * NANOS_PER_SECOND,
        10 * NANOS_PER_SECOND,
        600 * NANOS_PER_SECOND,
        3 * NANOS_PER_SECOND / 2);
  }
}

package org.pollenrock.core.lease;

import java.util.Objects;

/**
 * Lease that was granted, as derived from the records of the log.
 *
 * @param owner router incarnation that holds the lease
 * @param fencingNumber log offset of the latest grant or renewal
 * @param expiresMillis log time in milliseconds from which another owner can be granted the lease
 */
public record Lease(LeaseOwner owner, FencingNumber fencingNumber, long expiresMillis) {
  /** Checks that no reference component is null. */
  public Lease {
    Objects.requireNonNull(owner, "owner");
    Objects.requireNonNull(fencingNumber, "fencingNumber");
  }
}

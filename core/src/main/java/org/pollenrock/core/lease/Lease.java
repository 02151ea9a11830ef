package org.pollenrock.core.lease;

import java.util.Objects;

/**
 * A granted lease, as the log states it.
 *
 * @param owner who holds it
 * @param fencingNumber offset of the newest grant or renewal
 * @param expiresMillis log time from which another owner may be granted it
 */
public record Lease(LeaseOwner owner, FencingNumber fencingNumber, long expiresMillis) {
  /** Checks that the parts are present. */
  public Lease {
    Objects.requireNonNull(owner, "owner");
    Objects.requireNonNull(fencingNumber, "fencingNumber");
  }
}

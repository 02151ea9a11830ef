package org.pollenrock.core.lease;

import java.util.Objects;

/**
 * A granted lease, as the log states it.
 *
 * @param owner who holds it
 * @param fence offset of the newest grant or renewal
 * @param expiresMillis log time from which another owner may be granted it
 */
public record Lease(LeaseOwner owner, FencingNumber fence, long expiresMillis) {
  /** Checks that the parts are present. */
  public Lease {
    Objects.requireNonNull(owner, "owner");
    Objects.requireNonNull(fence, "fence");
  }
}

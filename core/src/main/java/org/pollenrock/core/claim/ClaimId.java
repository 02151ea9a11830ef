package org.pollenrock.core.claim;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Identity of a claim. Several copies of a claim in the log have the same id.
 *
 * @param router id of the claiming router
 * @param incarnation incarnation of that router; a later incarnation never sends a call under this
 *     claim
 * @param counter number of the claim within the incarnation
 */
public record ClaimId(InstanceId router, Incarnation incarnation, long counter) {
  /** Checks that router and incarnation are not null. */
  public ClaimId {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}

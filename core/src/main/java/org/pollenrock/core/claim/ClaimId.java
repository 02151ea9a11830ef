package org.pollenrock.core.claim;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Identity of one claim; a repeated append of it is the same claim.
 *
 * @param router the claiming router
 * @param incarnation its incarnation; a later one never sends for this claim
 * @param counter number of the claim within the incarnation
 */
public record ClaimId(InstanceId router, Incarnation incarnation, long counter) {
  /** Checks that router and incarnation are present. */
  public ClaimId {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}

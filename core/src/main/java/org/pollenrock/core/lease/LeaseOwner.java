package org.pollenrock.core.lease;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Owner of a lease: one incarnation of a router. A restarted router is a different owner, because
 * the process of the earlier incarnation may only be paused and could resume.
 *
 * @param router id of the router
 * @param incarnation incarnation of the router
 */
public record LeaseOwner(InstanceId router, Incarnation incarnation) {
  /** Checks that both components are not null. */
  public LeaseOwner {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}

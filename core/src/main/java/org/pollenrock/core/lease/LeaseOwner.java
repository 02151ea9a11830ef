package org.pollenrock.core.lease;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * One incarnation of a router; a restarted router is another owner, because its predecessor may
 * only be paused.
 *
 * @param router the router
 * @param incarnation its incarnation
 */
public record LeaseOwner(InstanceId router, Incarnation incarnation) {
  /** Checks that both parts are present. */
  public LeaseOwner {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}

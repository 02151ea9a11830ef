package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Sign of life of a router.
 *
 * @param from the sender
 * @param incarnation its incarnation
 * @param dataCentre where it runs
 * @param sequence grows with every heartbeat of the incarnation
 * @param settingsRevision revision that it has applied
 */
public record RouterHeartbeat(
    InstanceId from,
    Incarnation incarnation,
    DataCentreId dataCentre,
    long sequence,
    long settingsRevision) {
  /** Checks that the parts are present. */
  public RouterHeartbeat {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}

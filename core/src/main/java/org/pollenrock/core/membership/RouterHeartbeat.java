package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Heartbeat message that a router sends to its peers.
 *
 * @param from router that sent the heartbeat
 * @param incarnation incarnation of the sender
 * @param dataCentre data centre in which the sender runs
 * @param sequence number that increases with every heartbeat of the incarnation
 * @param settingsRevision revision of the settings that the sender has applied
 */
public record RouterHeartbeat(
    InstanceId from,
    Incarnation incarnation,
    DataCentreId dataCentre,
    long sequence,
    long settingsRevision) {
  /** Checks that no reference component is null. */
  public RouterHeartbeat {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}

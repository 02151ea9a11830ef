package org.pollenrock.core.stream;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server on which a broken stream could go on.
 *
 * @param server the server
 * @param incarnation its current incarnation
 * @param weights weights version that it serves for the model
 * @param acceptsNewWork whether it may get new requests: live, not leaving, not suspect
 * @param reachable whether a connection to it is believed to work
 */
public record ResumeCandidate(
    BackendServerId server,
    Incarnation incarnation,
    WeightsVersion weights,
    boolean acceptsNewWork,
    boolean reachable) {
  /** Checks that all parts are present. */
  public ResumeCandidate {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

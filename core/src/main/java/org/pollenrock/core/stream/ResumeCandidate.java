package org.pollenrock.core.stream;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server that may resume or continue a broken stream.
 *
 * @param server the server
 * @param incarnation current incarnation of the server
 * @param weights weights version that the server serves for the model
 * @param acceptsNewRequests whether the server may receive new requests: it is live, not leaving
 *     and not suspect
 * @param reachable whether the server is considered reachable
 */
public record ResumeCandidate(
    BackendServerId server,
    Incarnation incarnation,
    WeightsVersion weights,
    boolean acceptsNewRequests,
    boolean reachable) {
  /** Checks that no component is null. */
  public ResumeCandidate {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

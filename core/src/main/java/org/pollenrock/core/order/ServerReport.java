package org.pollenrock.core.order;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/**
 * What a server says about its work.
 *
 * @param server the server
 * @param incarnation which life of it
 * @param timeMillis time of the report by the server's clock; orders reports of one incarnation
 * @param phase what it does
 * @param serves what it serves, or what it loads or failed to load in those phases
 * @param running requests in flight
 */
public record ServerReport(
    BackendServerId server,
    Incarnation incarnation,
    long timeMillis,
    Phase phase,
    Optional<Assignment> serves,
    int running) {
  /** What a server does. */
  public enum Phase {
    /** Has no model. */
    EMPTY,
    /** Loads a model and serves nothing. */
    LOADING,
    /** Serves a model. */
    SERVING,
    /** The last load failed; it serves nothing. */
    LOAD_FAILED,
    /** Leaves. */
    LEAVING
  }

  /** Checks that the parts are present. */
  public ServerReport {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(serves, "serves");
  }

  /** Whether another report was made after this one. */
  boolean isBefore(ServerReport other) {
    if (!incarnation.equals(other.incarnation)) {
      return other.incarnation.isAfter(incarnation);
    }
    return timeMillis < other.timeMillis;
  }

  boolean serving(Assignment assignment) {
    return phase == Phase.SERVING && serves.equals(Optional.of(assignment));
  }

  boolean failed(Assignment assignment) {
    return phase == Phase.LOAD_FAILED && serves.equals(Optional.of(assignment));
  }
}

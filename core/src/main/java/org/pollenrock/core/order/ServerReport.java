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
 * @param assignment what it serves, or what it loads or failed to load in those phases
 * @param runningCount requests in flight
 */
public record ServerReport(
    BackendServerId server,
    Incarnation incarnation,
    long timeMillis,
    Phase phase,
    Optional<Assignment> assignment,
    int runningCount) {
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
    Objects.requireNonNull(assignment, "assignment");
  }

  /** Whether another report was made after this one. */
  boolean isBefore(ServerReport other) {
    if (!incarnation.equals(other.incarnation)) {
      return other.incarnation.isAfter(incarnation);
    }
    return timeMillis < other.timeMillis;
  }

  boolean isServing(Assignment expected) {
    return phase == Phase.SERVING && assignment.equals(Optional.of(expected));
  }

  boolean hasFailedToLoad(Assignment expected) {
    return phase == Phase.LOAD_FAILED && assignment.equals(Optional.of(expected));
  }
}

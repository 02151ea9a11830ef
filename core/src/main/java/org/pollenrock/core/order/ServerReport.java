package org.pollenrock.core.order;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/**
 * State of a server as the server reports it.
 *
 * @param server the server
 * @param incarnation incarnation of the server process
 * @param timeMillis time of the report by the clock of the server; determines the order of reports
 *     of one incarnation
 * @param phase phase of the server
 * @param assignment what the server serves, is loading, or failed to load, depending on the phase
 * @param runningCount number of requests in flight
 */
public record ServerReport(
    BackendServerId server,
    Incarnation incarnation,
    long timeMillis,
    Phase phase,
    Optional<Assignment> assignment,
    int runningCount) {
  /** Phases of a server. */
  public enum Phase {
    /** The server has no model. */
    EMPTY,
    /** The server loads a model and serves no requests. */
    LOADING,
    /** The server serves a model. */
    SERVING,
    /** The last load failed; the server serves no requests. */
    LOAD_FAILED,
    /** The server leaves the fleet. */
    LEAVING
  }

  /** Checks that the object components are not null. */
  public ServerReport {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(assignment, "assignment");
  }

  /** Returns whether another report was made after this one. */
  boolean isBefore(ServerReport other) {
    if (!incarnation.equals(other.incarnation)) {
      return other.incarnation.isAfter(incarnation);
    }
    return timeMillis < other.timeMillis;
  }

  /** Returns whether the server serves the given assignment. */
  boolean isServing(Assignment expected) {
    return phase == Phase.SERVING && assignment.equals(Optional.of(expected));
  }

  /** Returns whether the server failed to load the given assignment. */
  boolean hasFailedToLoad(Assignment expected) {
    return phase == Phase.LOAD_FAILED && assignment.equals(Optional.of(expected));
  }
}

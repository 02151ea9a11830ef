package org.pollenrock.core.connection;

import java.util.Objects;

/** Action that the caller of {@link ConnectionMonitor} has to carry out. */
public sealed interface ConnectionAction {
  /**
   * Closes a connection and fails its exchange, if it has one.
   *
   * @param connection the connection to close
   * @param reason reason for closing it
   */
  record Close(ConnectionId connection, CloseReason reason) implements ConnectionAction {
    /** Checks that no component is null. */
    public Close {
      Objects.requireNonNull(connection, "connection");
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Starts no new exchange on an idle connection until the probe has ended.
   *
   * @param connection the idle connection
   */
  record MarkSuspect(ConnectionId connection) implements ConnectionAction {
    /** Checks that the connection is not null. */
    public MarkSuspect {
      Objects.requireNonNull(connection, "connection");
    }
  }

  /**
   * Opens a new connection, sends a small request on it and reports the outcome to {@link
   * ConnectionMonitor#recordProbeSuccess} or {@link ConnectionMonitor#recordProbeFailure}.
   *
   * @param probeId identifier of the probe, to be passed with the outcome
   */
  record Probe(long probeId) implements ConnectionAction {}

  /** Sends no new requests to the server, because a new connection does not work either. */
  record SuspectServer() implements ConnectionAction {}

  /** Sends requests to the server again, because a probe succeeded. */
  record TrustServer() implements ConnectionAction {}
}

package org.pollenrock.core.connection;

import java.util.Objects;

/** What the router does after an event or a tick. */
public sealed interface ConnectionAction {
  /**
   * Close a connection and fail its exchange, if it has one.
   *
   * @param connection the connection
   * @param reason why
   */
  record Close(ConnectionId connection, CloseReason reason) implements ConnectionAction {
    /** Checks that all parts are present. */
    public Close {
      Objects.requireNonNull(connection, "connection");
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Give an idle connection no new exchange until the probe has decided.
   *
   * @param connection the connection
   */
  record MarkSuspect(ConnectionId connection) implements ConnectionAction {
    /** Checks that the part is present. */
    public MarkSuspect {
      Objects.requireNonNull(connection, "connection");
    }
  }

  /**
   * Open a fresh connection, send a small request and report the outcome.
   *
   * @param probeId number to report the outcome with
   */
  record Probe(long probeId) implements ConnectionAction {}

  /** Stop giving new work to the server: a fresh connection does not work either. */
  record SuspectServer() implements ConnectionAction {}

  /** Give work to the server again: a probe succeeded. */
  record TrustServer() implements ConnectionAction {}
}

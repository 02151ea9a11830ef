package org.pollenrock.core.connection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Monitors all connections to one peer and detects those that no longer deliver data.
 *
 * <p>Every kind of link reports its traffic as exchanges. A request to an engine has one deadline
 * for the first byte and another between tokens. A long poll has a deadline of its wait time plus a
 * margin. A link between routers is a single exchange without end, whose deadline is the permitted
 * number of missed heartbeats. Events of unknown or closed connections are ignored, because they
 * may be in flight when a connection is closed.
 */
public final class ConnectionMonitor {
  private static final long NO_PROBE_ID = -1;

  private final ConnectionSettings settings;
  private final Map<ConnectionId, MonitoredConnection> connections = new LinkedHashMap<>();
  private long lastProbeId;
  private long runningProbeId = NO_PROBE_ID;
  private long probeStartedNanos;
  private long nextProbeNanos;

  /** Whether silence was detected while a probe was running, which requires another probe. */
  private boolean probePending;

  private boolean serverSuspect;

  /**
   * Creates a monitor without connections.
   *
   * @param settings time limits of the link
   */
  public ConnectionMonitor(ConnectionSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Adds an established connection.
   *
   * @param connection identifier of the connection, not used before
   * @param nowNanos current time
   * @throws IllegalArgumentException if a connection with this identifier is open
   */
  public void addConnection(ConnectionId connection, long nowNanos) {
    MonitoredConnection added = new MonitoredConnection(connection, nowNanos);
    if (connections.putIfAbsent(connection, added) != null) {
      throw new IllegalArgumentException("connection is already open: " + connection);
    }
  }

  /**
   * Removes a connection that was closed by either end.
   *
   * @param connection identifier of the connection
   */
  public void removeConnection(ConnectionId connection) {
    connections.remove(connection);
  }

  /**
   * Starts an exchange on an idle connection.
   *
   * @param connection identifier of the connection
   * @param firstByteTimeoutNanos maximum time until the first byte is received
   * @param interByteTimeoutNanos maximum time between received bytes after the first one
   * @param nowNanos current time
   * @throws IllegalArgumentException if the connection is unknown, busy or suspect
   */
  public void startExchange(
      ConnectionId connection,
      long firstByteTimeoutNanos,
      long interByteTimeoutNanos,
      long nowNanos) {
    if (!canStartExchange(connection)) {
      throw new IllegalArgumentException("connection cannot start an exchange: " + connection);
    }
    connections
        .get(connection)
        .startExchange(firstByteTimeoutNanos, interByteTimeoutNanos, nowNanos);
  }

  /**
   * Records that data was received.
   *
   * <p>Data received without an exchange could be mistaken for the response of the next exchange,
   * so the connection is closed.
   *
   * @param connection identifier of the connection
   * @param nowNanos current time
   * @return the action to close the connection if it had no exchange, else an empty list
   */
  public List<ConnectionAction> recordReceived(ConnectionId connection, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    Optional<MonitoredConnection> found = find(connection);
    if (found.isEmpty()) {
      return actions;
    }
    if (isIdle(found.get())) {
      close(found.get(), CloseReason.UNSOLICITED_DATA, actions);
    } else {
      found.get().recordReceived(nowNanos);
    }
    return actions;
  }

  /**
   * Records that written data is pending because the peer does not accept it.
   *
   * @param connection identifier of the connection
   * @param nowNanos current time
   */
  public void recordWriteBlocked(ConnectionId connection, long nowNanos) {
    find(connection).ifPresent(found -> found.recordWriteBlocked(nowNanos));
  }

  /**
   * Records that the peer accepted some of the pending data.
   *
   * @param connection identifier of the connection
   * @param drained whether no written data is pending any more
   * @param nowNanos current time
   */
  public void recordWriteProgress(ConnectionId connection, boolean drained, long nowNanos) {
    find(connection).ifPresent(found -> found.recordWriteProgress(drained, nowNanos));
  }

  /**
   * Records that the response of the exchange is complete. The connection may be reused, unless a
   * part of the request is still pending to be sent.
   *
   * @param connection identifier of the connection
   * @param nowNanos current time
   * @return the action to close the connection if it may not be reused, else an empty list
   */
  public List<ConnectionAction> finishExchange(ConnectionId connection, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    MonitoredConnection found = connections.get(connection);
    if (found == null || found.state() != ConnectionState.BUSY) {
      return actions;
    }
    if (found.isWritePending()) {
      close(found, CloseReason.EXCHANGE_ABORTED, actions);
    } else {
      found.recordReceived(nowNanos);
      found.finishExchange();
    }
    return actions;
  }

  /**
   * Records that the exchange was cancelled or timed out before its response was complete.
   *
   * @param connection identifier of the connection
   * @return the action to close the connection if it is open, else an empty list
   */
  public List<ConnectionAction> abortExchange(ConnectionId connection) {
    List<ConnectionAction> actions = new ArrayList<>();
    find(connection).ifPresent(found -> close(found, CloseReason.EXCHANGE_ABORTED, actions));
    return actions;
  }

  /**
   * Records that a probe received a response on its new connection. Outcomes of probes that are no
   * longer running are ignored.
   *
   * @param probeId identifier of the probe
   * @param nowNanos current time
   * @return actions to close the idle connections that are not newer than the probe, to trust a
   *     suspect server again, and to start another probe if silence was detected meanwhile
   */
  public List<ConnectionAction> recordProbeSuccess(long probeId, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    if (probeId != runningProbeId) {
      return actions;
    }
    runningProbeId = NO_PROBE_ID;
    for (MonitoredConnection connection : List.copyOf(connections.values())) {
      if (isIdle(connection) && connection.createdNanos() <= probeStartedNanos) {
        close(connection, CloseReason.OLDER_THAN_PROBE, actions);
      }
    }
    if (serverSuspect) {
      serverSuspect = false;
      actions.add(new ConnectionAction.TrustServer());
    }
    if (probePending) {
      startProbe(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Records that a probe was refused, reset or otherwise failed. Outcomes of probes that are no
   * longer running are ignored.
   *
   * @param probeId identifier of the probe
   * @param nowNanos current time
   * @return actions to close all idle connections and to stop sending requests to the server
   */
  public List<ConnectionAction> recordProbeFailure(long probeId, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    if (probeId == runningProbeId) {
      handleProbeFailure(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Checks all deadlines. Must be called at least every {@link ConnectionSettings#tickNanos}.
   *
   * @param nowNanos current time
   * @return actions that follow from missed deadlines and due probes
   */
  public List<ConnectionAction> tick(long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    if (runningProbeId != NO_PROBE_ID
        && nowNanos - probeStartedNanos > settings.probeTimeoutNanos()) {
      handleProbeFailure(nowNanos, actions);
    }
    boolean silent = closeSilentConnections(nowNanos, actions);
    if (!settings.canProbe()) {
      return actions;
    }
    if (silent) {
      markIdleConnectionsSuspect(actions);
      requestProbe(nowNanos, actions);
    } else if (serverSuspect && runningProbeId == NO_PROBE_ID && nowNanos >= nextProbeNanos) {
      startProbe(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Returns whether an idempotent exchange may be started on a connection.
   *
   * @param connection identifier of the connection
   * @return true if the connection is open, idle and not suspect
   */
  public boolean canStartExchange(ConnectionId connection) {
    return state(connection) == ConnectionState.IDLE;
  }

  /**
   * Returns whether a non-idempotent exchange may be started on a connection. Such an exchange
   * cannot be repeated if it is lost in a silent connection.
   *
   * @param connection identifier of the connection
   * @param nowNanos current time
   * @return true if {@link #canStartExchange} holds and the connection was established or received
   *     data within {@link ConnectionSettings#provenLifeNanos}
   */
  public boolean canStartNonIdempotentExchange(ConnectionId connection, long nowNanos) {
    return canStartExchange(connection)
        && nowNanos - connections.get(connection).lastReceivedNanos() <= settings.provenLifeNanos();
  }

  /**
   * Returns the state of a connection.
   *
   * @param connection identifier of the connection
   * @return the state; {@link ConnectionState#CLOSED} for an unknown connection
   */
  public ConnectionState state(ConnectionId connection) {
    return find(connection).map(MonitoredConnection::state).orElse(ConnectionState.CLOSED);
  }

  /**
   * Returns whether the server itself is suspected to be silent.
   *
   * @return true from a failed probe until the next successful one
   */
  public boolean isServerSuspect() {
    return serverSuspect;
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number of connections
   */
  public int size() {
    return connections.size();
  }

  private Optional<MonitoredConnection> find(ConnectionId connection) {
    return Optional.ofNullable(connections.get(connection));
  }

  private static boolean isIdle(MonitoredConnection connection) {
    return connection.state() == ConnectionState.IDLE
        || connection.state() == ConnectionState.SUSPECT;
  }

  private boolean closeSilentConnections(long nowNanos, List<ConnectionAction> actions) {
    boolean silent = false;
    for (MonitoredConnection connection : List.copyOf(connections.values())) {
      if (connection.isSendSilent(settings.sendDeadlineNanos(), nowNanos)) {
        close(connection, CloseReason.SEND_SILENCE, actions);
        silent = true;
      } else if (connection.isReceiveSilent(nowNanos)) {
        close(connection, CloseReason.RECEIVE_SILENCE, actions);
        silent = true;
      }
    }
    return silent;
  }

  private void markIdleConnectionsSuspect(List<ConnectionAction> actions) {
    for (MonitoredConnection connection : connections.values()) {
      if (connection.state() == ConnectionState.IDLE) {
        connection.markSuspect();
        actions.add(new ConnectionAction.MarkSuspect(connection.id()));
      }
    }
  }

  private void requestProbe(long nowNanos, List<ConnectionAction> actions) {
    if (runningProbeId != NO_PROBE_ID) {
      probePending = true;
    } else {
      startProbe(nowNanos, actions);
    }
  }

  private void startProbe(long nowNanos, List<ConnectionAction> actions) {
    probePending = false;
    lastProbeId++;
    runningProbeId = lastProbeId;
    probeStartedNanos = nowNanos;
    actions.add(new ConnectionAction.Probe(runningProbeId));
  }

  private void handleProbeFailure(long nowNanos, List<ConnectionAction> actions) {
    runningProbeId = NO_PROBE_ID;
    probePending = false;
    nextProbeNanos = nowNanos + settings.probeIntervalNanos();
    for (MonitoredConnection connection : List.copyOf(connections.values())) {
      if (isIdle(connection)) {
        close(connection, CloseReason.SERVER_SUSPECT, actions);
      }
    }
    if (!serverSuspect) {
      serverSuspect = true;
      actions.add(new ConnectionAction.SuspectServer());
    }
  }

  private void close(
      MonitoredConnection connection, CloseReason reason, List<ConnectionAction> actions) {
    connection.markClosed();
    connections.remove(connection.id());
    actions.add(new ConnectionAction.Close(connection.id(), reason));
  }
}

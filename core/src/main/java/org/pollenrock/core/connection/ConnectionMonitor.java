package org.pollenrock.core.connection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Watches all connections to one peer and finds those that no longer deliver data.
 *
 * <p>Every kind of link reports its traffic as exchanges. A request to an engine has a deadline to
 * the first byte and one between tokens; a long poll has its wait time plus a margin; a router link
 * is one exchange without end whose deadline is the number of missed heartbeats. Events of unknown
 * or closed connections are ignored, because they may be in flight when a connection is closed.
 */
public final class ConnectionMonitor {
  private static final long NO_PROBE_ID = -1;

  private final ConnectionSettings settings;
  private final Map<ConnectionId, MonitoredConnection> connections = new LinkedHashMap<>();
  private long lastProbeId;
  private long runningProbeId = NO_PROBE_ID;
  private long probeStartedNanos;
  private long nextProbeNanos;
  private boolean probePending;
  private boolean serverSuspect;

  /**
   * Creates a monitor without connections.
   *
   * @param settings time bounds of the link
   */
  public ConnectionMonitor(ConnectionSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * A connection was established.
   *
   * @param connection its number, not used before
   * @param nowNanos time now
   * @throws IllegalArgumentException when the number is in use
   */
  public void addConnection(ConnectionId connection, long nowNanos) {
    MonitoredConnection added = new MonitoredConnection(connection, nowNanos);
    if (connections.putIfAbsent(connection, added) != null) {
      throw new IllegalArgumentException("connection is open already: " + connection);
    }
  }

  /**
   * A connection was closed by either end.
   *
   * @param connection its number
   */
  public void removeConnection(ConnectionId connection) {
    connections.remove(connection);
  }

  /**
   * An exchange was given to an idle connection.
   *
   * @param connection its number
   * @param firstNanos longest time to the first received byte
   * @param betweenNanos longest time between received bytes after that
   * @param nowNanos time now
   * @throws IllegalArgumentException when the connection cannot carry an exchange
   */
  public void startExchange(
      ConnectionId connection, long firstNanos, long betweenNanos, long nowNanos) {
    if (!canStartExchange(connection)) {
      throw new IllegalArgumentException("connection cannot carry an exchange: " + connection);
    }
    connections.get(connection).startExchange(firstNanos, betweenNanos, nowNanos);
  }

  /**
   * Data was received.
   *
   * <p>Data without an exchange would be taken for the answer to the next one, so it closes the
   * connection.
   *
   * @param connection its number
   * @param nowNanos time now
   * @return the order to close the connection, when it had no exchange
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
   * Written data waits because the peer does not take it.
   *
   * @param connection its number
   * @param nowNanos time now
   */
  public void recordWriteBlocked(ConnectionId connection, long nowNanos) {
    find(connection).ifPresent(found -> found.recordWriteBlocked(nowNanos));
  }

  /**
   * The peer took some of the waiting data.
   *
   * @param connection its number
   * @param drained whether nothing waits any more
   * @param nowNanos time now
   */
  public void recordWriteProgress(ConnectionId connection, boolean drained, long nowNanos) {
    find(connection).ifPresent(found -> found.recordWriteProgress(drained, nowNanos));
  }

  /**
   * The exchange ended with its complete answer, so the connection may be reused unless a part of
   * the request still waits to be sent.
   *
   * @param connection its number
   * @param nowNanos time now
   * @return the order to close the connection, when it may not be reused
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
   * The exchange was cancelled or timed out without an answer.
   *
   * @param connection its number
   * @return the order to close the connection, when it is open
   */
  public List<ConnectionAction> abortExchange(ConnectionId connection) {
    List<ConnectionAction> actions = new ArrayList<>();
    find(connection).ifPresent(found -> close(found, CloseReason.EXCHANGE_ABORTED, actions));
    return actions;
  }

  /**
   * A probe was answered on its fresh connection.
   *
   * @param probe number of the probe
   * @param nowNanos time now
   * @return orders to close the idle connections that are older than the probe, to trust the server
   *     again, and to probe again when a silence was found meanwhile
   */
  public List<ConnectionAction> recordProbeSuccess(long probe, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    if (probe != runningProbeId) {
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
   * A probe was refused, reset or otherwise failed.
   *
   * @param probe number of the probe
   * @param nowNanos time now
   * @return orders to close all idle connections and to stop giving work to the server
   */
  public List<ConnectionAction> recordProbeFailure(long probe, long nowNanos) {
    List<ConnectionAction> actions = new ArrayList<>();
    if (probe == runningProbeId) {
      handleProbeFailure(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Looks for missed deadlines; called at least every {@link ConnectionSettings#tickNanos}.
   *
   * @param nowNanos time now
   * @return orders that follow from them
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
   * Tells whether a connection may get an idempotent exchange.
   *
   * @param connection its number
   * @return true when it is open, idle and not suspect
   */
  public boolean canStartExchange(ConnectionId connection) {
    return state(connection) == ConnectionState.IDLE;
  }

  /**
   * Tells whether a connection may get a non-idempotent exchange, which cannot be repeated when it
   * is lost in a silent connection.
   *
   * @param connection its number
   * @param nowNanos time now
   * @return true when it may carry an exchange and was established or delivered data within {@link
   *     ConnectionSettings#provenLifeNanos}
   */
  public boolean canStartNonIdempotentExchange(ConnectionId connection, long nowNanos) {
    return canStartExchange(connection)
        && nowNanos - connections.get(connection).lastReceivedNanos() <= settings.provenLifeNanos();
  }

  /**
   * State of a connection.
   *
   * @param connection its number
   * @return its state; closed when it is not known
   */
  public ConnectionState state(ConnectionId connection) {
    return find(connection).map(MonitoredConnection::state).orElse(ConnectionState.CLOSED);
  }

  /**
   * Tells whether the server itself is believed silent.
   *
   * @return true from a failed probe until the next successful one
   */
  public boolean isServerSuspect() {
    return serverSuspect;
  }

  /**
   * Number of connections that are open.
   *
   * @return the number
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

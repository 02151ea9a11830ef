package org.pollenrock.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.connection.ConnectionAction;
import org.pollenrock.core.connection.ConnectionId;
import org.pollenrock.core.connection.ConnectionMonitor;
import org.pollenrock.core.connection.ConnectionSettings;
import org.pollenrock.core.model.BackendServerId;

/**
 * Watches the exchanges with each server for silence; confined to the decision thread.
 *
 * <p>Progress is read at each tick instead of being reported for every token. Idle connections stay
 * with the transport, which closes them when a probe succeeds.
 */
final class LinkWatch {
  private final ConnectionSettings settings;
  private final Actions actions;
  private final Map<BackendServerId, Link> links = new HashMap<>();

  /** What the watch asks for. */
  interface Actions {
    /** Tests on a fresh connection whether a server answers. */
    void probe(BackendServerId server, long probe);

    /** A server stopped answering, or answers again. */
    void suspect(BackendServerId server, boolean suspect);
  }

  private static final class Link {
    private final ConnectionMonitor monitor;
    private final Map<ConnectionId, Watched> exchanges = new HashMap<>();

    Link(ConnectionSettings settings) {
      monitor = new ConnectionMonitor(settings);
    }
  }

  private static final class Watched {
    private final WatchedExchange exchange;
    private long seenNanos;

    Watched(WatchedExchange exchange, long seenNanos) {
      this.exchange = exchange;
      this.seenNanos = seenNanos;
    }
  }

  LinkWatch(ConnectionSettings settings, Actions actions) {
    this.settings = settings;
    this.actions = actions;
  }

  void started(
      BackendServerId server,
      long id,
      WatchedExchange exchange,
      ProgressDeadline deadline,
      long nowNanos) {
    Link link = links.computeIfAbsent(server, name -> new Link(settings));
    ConnectionId connection = new ConnectionId(id);
    link.monitor.addConnection(connection, nowNanos);
    link.monitor.startExchange(
        connection, deadline.firstNanos(), deadline.betweenNanos(), nowNanos);
    link.exchanges.put(connection, new Watched(exchange, nowNanos));
  }

  void ended(BackendServerId server, long id) {
    Link link = links.get(server);
    if (link != null) {
      link.exchanges.remove(new ConnectionId(id));
      link.monitor.removeConnection(new ConnectionId(id));
    }
  }

  void probeEnded(BackendServerId server, long probe, boolean success, long nowNanos) {
    Link link = links.get(server);
    if (link == null) {
      return;
    }
    apply(
        server,
        link,
        success
            ? link.monitor.recordProbeSuccess(probe, nowNanos)
            : link.monitor.recordProbeFailure(probe, nowNanos));
  }

  void gone(BackendServerId server) {
    Link link = links.get(server);
    if (link != null && link.exchanges.isEmpty()) {
      links.remove(server);
    }
  }

  void tick(long nowNanos) {
    links.forEach(
        (server, link) -> {
          readProgress(link);
          apply(server, link, link.monitor.tick(nowNanos));
        });
  }

  private static void readProgress(Link link) {
    link.exchanges.forEach(
        (connection, watched) -> {
          long progress = watched.exchange.lastProgressNanos();
          if (progress - watched.seenNanos > 0) {
            watched.seenNanos = progress;
            link.monitor.recordReceived(connection, progress);
          }
        });
  }

  private void apply(BackendServerId server, Link link, List<ConnectionAction> wanted) {
    for (ConnectionAction action : wanted) {
      switch (action) {
        case ConnectionAction.Close close -> {
          Watched closed = link.exchanges.remove(close.connection());
          if (closed != null) {
            closed.exchange.silent();
          }
        }
        case ConnectionAction.Probe probe -> actions.probe(server, probe.probeId());
        case ConnectionAction.SuspectServer suspect -> actions.suspect(server, true);
        case ConnectionAction.TrustServer trust -> actions.suspect(server, false);
        case ConnectionAction.MarkSuspect mark -> {
          // Only exchanges are watched here, and they are never idle.
        }
      }
    }
  }
}

package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ServerNotice;

/**
 * Applies what servers tell about further requests in their responses, of whatever kind, to the
 * fleet, and keeps all sends from servers that have told that they want none.
 *
 * <p>All methods must be called on the event loop.
 */
final class ServerNoticeTask implements ServerGate {
  private final Fleet fleet;
  private final ServerProtocol serverProtocol;
  private final ServerConnectionPools connectionPools;
  private final QueuedExchanges queuedExchanges;
  private final GatewayMetrics metrics;
  private final EventLog log;

  ServerNoticeTask(
      Fleet fleet,
      ServerProtocol serverProtocol,
      ServerConnectionPools connectionPools,
      QueuedExchanges queuedExchanges,
      GatewayMetrics metrics,
      EventLog log) {
    this.fleet = fleet;
    this.serverProtocol = serverProtocol;
    this.connectionPools = connectionPools;
    this.queuedExchanges = queuedExchanges;
    this.metrics = metrics;
    this.log = log;
  }

  @Override
  public boolean tryEnter(Backend server) {
    return server.notices().permitsRequest();
  }

  @Override
  public void recordResponse(Backend server, int status, HttpHeaders headers) {
    ServerNotice notice = serverProtocol.decodeNotice(status, headers);
    Optional<Backend> leaving = fleet.applyNotice(server, notice);
    leaving.ifPresent(this::handleLeaving);
  }

  private void handleLeaving(Backend server) {
    metrics.recordServerLeaving();
    log.line("server_leaving")
        .with("server", server.entry().id())
        .with("service", server.entry().service())
        .with("in_flight", server.inFlightCount())
        .write();
    connectionPools.poolFor(server).closeIdle();
    queuedExchanges.dispatchWaiting(server.entry().service());
  }
}

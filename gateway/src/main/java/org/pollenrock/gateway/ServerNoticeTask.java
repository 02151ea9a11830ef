package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.NoticeEffect;
import org.pollenrock.core.fleet.ServerNotice;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Applies what servers tell about further requests in their responses, of whatever kind, to the
 * fleet, and keeps all sends from servers that have told that they want none.
 *
 * <p>All methods must be called on the event loop.
 */
final class ServerNoticeTask implements ServerGate {
  /** Time between the returns of two instances after a hold that they got at the same time. */
  private static final long RETURN_INTERVAL_NANOS = 5_000_000L;

  /** Longest additional time of a hold. */
  private static final long MAX_SPREAD_NANOS = 2_000_000_000L;

  private final long ownIdHash;
  private final Fleet fleet;
  private final Dispatcher dispatcher;
  private final ServerProtocol serverProtocol;
  private final ServerConnectionPools connectionPools;
  private final QueuedExchanges queuedExchanges;
  private final GatewayMetrics metrics;
  private final EventLog log;

  ServerNoticeTask(
      InstanceId ownId,
      Fleet fleet,
      Dispatcher dispatcher,
      ServerProtocol serverProtocol,
      ServerConnectionPools connectionPools,
      QueuedExchanges queuedExchanges,
      GatewayMetrics metrics,
      EventLog log) {
    this.ownIdHash = RendezvousHash.hash(ownId.value());
    this.fleet = fleet;
    this.dispatcher = dispatcher;
    this.serverProtocol = serverProtocol;
    this.connectionPools = connectionPools;
    this.queuedExchanges = queuedExchanges;
    this.metrics = metrics;
    this.log = log;
  }

  @Override
  public boolean tryEnter(Backend server) {
    long now = System.nanoTime();
    if (!server.notices().permitsRequest(now)) {
      return false;
    }
    server.notices().recordRequest(now);
    return true;
  }

  @Override
  public boolean permitsSend(Backend server) {
    return server.notices().permitsSend(System.nanoTime());
  }

  @Override
  public void recordResponse(Backend server, int status, HttpHeaders headers) {
    ServerNotice notice = serverProtocol.decodeNotice(status, headers);
    long now = System.nanoTime();
    long spreadNanos = notice.holdNanos().isPresent() ? spreadNanos(server) : 0;
    switch (fleet.applyNotice(server, notice, spreadNanos, now)) {
      case NoticeEffect.None() -> {}
      case NoticeEffect.Leaving(Backend leaving) -> handleLeaving(leaving);
      case NoticeEffect.Held(Backend held) -> handleHeld(held, now);
      case NoticeEffect.Unreadable(Backend sender) ->
          log.line("server_notice_unreadable").with("server", sender.entry().id()).write();
    }
  }

  private long spreadNanos(Backend server) {
    long rangeNanos =
        Math.min(MAX_SPREAD_NANOS, dispatcher.instanceCount() * RETURN_INTERVAL_NANOS);
    return Long.remainderUnsigned(RendezvousHash.mix(ownIdHash ^ server.idHash()), rangeNanos);
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

  private void handleHeld(Backend server, long nowNanos) {
    metrics.recordServerHold();
    log.line("server_on_hold")
        .with("server", server.entry().id())
        .with("service", server.entry().service())
        .with("for_ms", server.notices().remainingHoldNanos(nowNanos) / 1_000_000)
        .write();
    queuedExchanges.dispatchWaiting(server.entry().service());
  }
}

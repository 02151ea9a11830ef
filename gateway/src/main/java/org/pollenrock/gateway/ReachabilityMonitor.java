package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.route.ServiceSpec;

/**
 * Probes missing servers, so that no caller's request has to, and tells other instances which ones
 * are missing.
 *
 * <p>Any answer to a probe shows that a server is there. What the answer says of the server's
 * health is not believed; requests that fail show that.
 */
final class ReachabilityMonitor {
  /** Longest wait for the answer to a probe, in milliseconds; a busy server lets it queue. */
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  /**
   * Range of the delays that instances add to probes, in nanoseconds, so that the first one tells
   * the others before they ask too.
   */
  private static final long PROBE_DELAY_RANGE_NANOS = 200_000_000L;

  private final Fleet fleet;
  private final ActiveConfig configs;
  private final ControlClient control;
  private final PeerGossip gossip;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final long probeDelayNanos;

  ReachabilityMonitor(
      Fleet fleet,
      ActiveConfig configs,
      ControlClient control,
      PeerGossip news,
      EventLog log,
      GatewayMetrics metrics,
      InetSocketAddress self) {
    this.fleet = fleet;
    this.configs = configs;
    this.control = control;
    this.gossip = news;
    this.log = log;
    this.metrics = metrics;
    this.probeDelayNanos =
        Math.floorMod(self.hashCode() * 0x9E3779B97F4A7C15L, PROBE_DELAY_RANGE_NANOS);
  }

  /** A server could not be connected or went silent. */
  void recordUnreachable(Backend backend, String cause) {
    boolean known = backend.isMissing();
    backend.recordUnreachable(System.nanoTime());
    if (!known) {
      log.line("server_missing")
          .with("server", backend.entry().id())
          .with("address", backend.entry().address())
          .with("cause", cause)
          .write();
    }
    gossip.announceMissing(backend);
  }

  /** A server sent bytes. */
  void recordReceived(Backend backend) {
    boolean returned = backend.isMissing();
    backend.recordReceived(System.nanoTime());
    if (returned) {
      log.line("server_returned").with("server", backend.entry().id()).write();
      gossip.announceReturned(backend);
    }
  }

  /** Sends the probes that are due. */
  void sweep() {
    for (Backend backend : fleet.serversDueForProbe(System.nanoTime() - probeDelayNanos)) {
      healthPath(backend).ifPresent(path -> sendProbe(backend, path));
    }
  }

  private Optional<String> healthPath(Backend backend) {
    return configs
        .current()
        .map(config -> config.servicesByName().get(backend.entry().service()))
        .map(ServiceSpec::healthPath);
  }

  private void sendProbe(Backend backend, String path) {
    backend.recordProbeSent(System.nanoTime() + PROBE_TIMEOUT_MILLIS * 1_000_000);
    ControlClient.Call call =
        new ControlClient.Call(HttpMethod.GET, path, Map.of(), new byte[0], PROBE_TIMEOUT_MILLIS);
    control.call(backend, call, result -> handleProbeResult(backend, result));
  }

  private void handleProbeResult(Backend backend, CallResult result) {
    switch (result) {
      case CallResult.Answered answered -> {
        metrics.recordProbe("answered");
        recordReceived(backend);
      }
      case CallResult.Failed failed -> {
        metrics.recordProbe("failed");
        recordUnreachable(backend, failed.cause());
      }
    }
  }
}

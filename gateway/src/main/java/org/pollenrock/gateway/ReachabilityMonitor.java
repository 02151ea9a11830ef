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
 * Tracks which servers are missing, that is, don't respond, probes them until they respond again,
 * and announces both to the other instances.
 *
 * <p>Probes spare callers' requests from being sent to a missing server. Any response to a probe
 * shows that the server is reachable. The health that the response reports is ignored, since
 * failing requests show the health of a server.
 */
final class ReachabilityMonitor {
  /** Maximum time for the response to a probe, which waits in the queue of a busy server. */
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  /**
   * Range of the delays by which instances stagger their probes, so that the first instance
   * announces the result before the others send a probe.
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
      PeerGossip gossip,
      EventLog log,
      GatewayMetrics metrics,
      InetSocketAddress gossipAddress) {
    this.fleet = fleet;
    this.configs = configs;
    this.control = control;
    this.gossip = gossip;
    this.log = log;
    this.metrics = metrics;
    this.probeDelayNanos =
        Math.floorMod(gossipAddress.hashCode() * 0x9E3779B97F4A7C15L, PROBE_DELAY_RANGE_NANOS);
  }

  /** Records that no connection to a server could be opened, or that the server went silent. */
  void recordUnreachable(Backend backend, String cause) {
    boolean alreadyMissing = backend.isMissing();
    backend.recordUnreachable(System.nanoTime());
    if (!alreadyMissing) {
      log.line("server_missing")
          .with("server", backend.entry().id())
          .with("address", backend.entry().address())
          .with("cause", cause)
          .write();
    }
    gossip.announceMissing(backend);
  }

  /** Records that a server sent bytes. */
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

package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.route.ServiceSpec;

/**
 * Tracks which servers are missing, that is, don't respond, probes them until they respond again,
 * and announces both to the other instances. Tells the quarantine which servers have ended after a
 * send to them broke.
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
   * announces its probe before the others send one.
   */
  private static final long PROBE_DELAY_RANGE_NANOS = 200_000_000L;

  /** Time for which a server has to keep the connection of a check open to count as alive. */
  private static final long CHECK_DELAY_MILLIS = 100;

  /** Maximum number of checks of a server after a broken send. */
  private static final int MAX_CHECKS = 2;

  /** Time after which a server that has not been found to have ended counts as alive. */
  private static final long ALIVE_NANOS = 1_000_000_000L;

  /** Maximum number of completions that wait until their server counts as alive. */
  private static final int MAX_PENDING_COMPLETIONS = 1_024;

  /**
   * Response that the end of its connection has completed, unless the server crashed.
   *
   * @param backend the server
   * @param suspects the request
   * @param nanos time of the end
   */
  private record PendingCompletion(Backend backend, CrashSuspects suspects, long nanos) {}

  private final EventLoop loop;
  private final Fleet fleet;
  private final ActiveConfig configs;
  private final ControlClient control;
  private final ServerConnectionPools connectionPools;
  private final CrashQuarantine quarantine;
  private final RateLimitTask rateLimits;
  private final LoadReports loadReports;
  private final PeerGossip gossip;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final long probeDelayNanos;

  /** Servers with a broken send, and until when they are watched for their end. */
  private final Map<Backend, Long> watchedUntilNanos = new HashMap<>();

  private final Set<Backend> checkedServers = new HashSet<>();
  private final Deque<PendingCompletion> pendingCompletions = new ArrayDeque<>();

  ReachabilityMonitor(
      EventLoop loop,
      Fleet fleet,
      ActiveConfig configs,
      ControlClient control,
      ServerConnectionPools connectionPools,
      CrashQuarantine quarantine,
      RateLimitTask rateLimits,
      LoadReports loadReports,
      PeerGossip gossip,
      EventLog log,
      GatewayMetrics metrics,
      InetSocketAddress gossipAddress) {
    this.loop = loop;
    this.fleet = fleet;
    this.configs = configs;
    this.control = control;
    this.connectionPools = connectionPools;
    this.quarantine = quarantine;
    this.rateLimits = rateLimits;
    this.loadReports = loadReports;
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
    recordEnded(backend);
  }

  /**
   * Records that the connection of a send to a server was lost, and checks at once whether the
   * server has ended, before the request, or others with the same parts, are sent elsewhere.
   */
  void recordBroken(Backend backend, CrashSuspects suspects, long sentNanos) {
    long now = System.nanoTime();
    quarantine.recordBroken(backend, suspects, sentNanos, now);
    watchedUntilNanos.put(backend, now + CrashQuarantine.CONFIRMATION_NANOS);
    if (hasEnded(backend)) {
      recordEnded(backend);
    } else if (checkedServers.add(backend)) {
      check(backend, 1);
    }
  }

  /**
   * Records that a request to a server has completed.
   *
   * @param endedWithConnection whether the end of the connection ended the response, as a crash of
   *     the server does; the completion then counts once the server is seen to live on
   */
  void recordCompletion(
      Backend backend, CrashSuspects suspects, long sentNanos, boolean endedWithConnection) {
    long now = System.nanoTime();
    if (!endedWithConnection) {
      quarantine.recordCompletion(suspects, now);
      return;
    }
    recordBroken(backend, suspects, sentNanos);
    if (pendingCompletions.size() < MAX_PENDING_COMPLETIONS) {
      pendingCompletions.add(new PendingCompletion(backend, suspects, now));
    }
  }

  /** Records that a server has gone on with the answer to a prompt. */
  void recordPromptRead(CrashSuspects suspects) {
    quarantine.recordCompletion(suspects.withoutRequest(), System.nanoTime());
  }

  /** Records that a server has ended or is not reachable. */
  void recordEnded(Backend backend) {
    quarantine.recordServerEnded(backend, System.nanoTime());
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

  /** Sends the probes that are due and that the rates of their servers allow. */
  void sweep() {
    long now = System.nanoTime();
    sweepWatched(now);
    for (Backend backend : fleet.serversDueForProbe(now - probeDelayNanos)) {
      if (rateLimits.limits().maySend(backend, now)) {
        healthPath(backend).ifPresent(path -> sendProbe(backend, path));
      }
    }
  }

  /**
   * Reports the watched servers that another instance has found missing or that the list has
   * replaced, and records the completions whose servers live on.
   */
  private void sweepWatched(long now) {
    for (Backend backend : watchedUntilNanos.keySet()) {
      if (hasEnded(backend)) {
        recordEnded(backend);
      }
    }
    watchedUntilNanos.values().removeIf(until -> now - until > 0);
    while (!pendingCompletions.isEmpty() && now - pendingCompletions.peek().nanos() > ALIVE_NANOS) {
      PendingCompletion completion = pendingCompletions.remove();
      if (!hasEnded(completion.backend())) {
        quarantine.recordCompletion(completion.suspects(), completion.nanos());
      }
    }
  }

  /**
   * Returns whether there is evidence that a server has ended. Its removal from the list is none: a
   * server that leaves may be unlisted while it completes its requests.
   */
  private boolean hasEnded(Backend backend) {
    return backend.isMissing()
        || fleet
            .findByIdHash(backend.idHash())
            .filter(listed -> listed.entry().startMillis() != backend.entry().startMillis())
            .isPresent();
  }

  private boolean isListed(Backend backend) {
    return fleet.findByIdHash(backend.idHash()).filter(listed -> listed == backend).isPresent();
  }

  /**
   * Checks whether a server that broke a send still accepts connections and keeps them open. Unlike
   * the response to a health call, this does not depend on the load of the server. The connection
   * is kept for the next request.
   */
  private void check(Backend backend, int attempt) {
    connectionPools
        .poolFor(backend)
        .connect(
            new ConnectionPool.AcquireListener() {
              @Override
              public void connected(HttpConnection connection, boolean reused) {
                if (isListed(backend)) {
                  connection.returnUnused();
                } else {
                  connection.close();
                }
                loop.schedule(
                    () -> finishCheck(backend, attempt, connection),
                    CHECK_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
              }

              @Override
              public void connectFailed(Throwable cause) {
                checkedServers.remove(backend);
                recordUnreachable(backend, cause.toString());
              }
            });
  }

  private void finishCheck(Backend backend, int attempt, HttpConnection connection) {
    if (!connection.isUsable() && attempt < MAX_CHECKS) {
      check(backend, attempt + 1);
    } else {
      checkedServers.remove(backend);
    }
  }

  private Optional<String> healthPath(Backend backend) {
    return configs
        .current()
        .map(config -> config.servicesByName().get(backend.entry().service()))
        .map(ServiceSpec::healthPath);
  }

  private void sendProbe(Backend backend, String path) {
    long now = System.nanoTime();
    backend.probes().recordProbeSent(now + PROBE_TIMEOUT_MILLIS * 1_000_000);
    // The server may let the probe wait until its timeout, which is longer than the stagger.
    gossip.announceProbe(backend);
    rateLimits.limits().recordSend(backend, now);
    ControlClient.Call call =
        new ControlClient.Call(HttpMethod.GET, path, Map.of(), new byte[0], PROBE_TIMEOUT_MILLIS);
    control.call(backend, call, result -> handleProbeResult(backend, result));
  }

  private void handleProbeResult(Backend backend, CallResult result) {
    switch (result) {
      case CallResult.Answered answered -> {
        metrics.recordProbe("answered");
        rateLimits.recordProbeResponse(backend, answered.headers());
        loadReports.recordProbe(backend, answered.headers(), System.nanoTime());
        recordReceived(backend);
      }
      case CallResult.Failed failed -> {
        metrics.recordProbe("failed");
        recordUnreachable(backend, failed.cause());
      }
    }
  }
}

package org.pollenrock.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.pollenrock.core.fleet.Backend;

/**
 * Checks at intervals whether a server, although responses are due, has sent nothing on any
 * connection for too long. As long as it sends bytes for other requests, the response to one may
 * take any time. The limit is lower for a server that is already missing.
 */
final class SilenceCheck {
  /** Interval of the checks; also the minimum silence. */
  private static final long INTERVAL_MILLIS = 450;

  /** Silence that is allowed, as a multiple of the target latency of the request. */
  private static final long MAX_SILENT_TARGET_LATENCIES = 2;

  private final GatewayComponents components;
  private final Backend backend;
  private final long targetLatencyMillis;
  private final BooleanSupplier giveUp;
  private ScheduledFuture<?> timer;
  private boolean stopped;

  /**
   * Creates a check that does not run before {@link #start}.
   *
   * @param components components of the gateway
   * @param backend the server
   * @param targetLatencyMillis target latency of the request
   * @param giveUp called when the server is silent; returns false if the request has to wait on
   */
  SilenceCheck(
      GatewayComponents components,
      Backend backend,
      long targetLatencyMillis,
      BooleanSupplier giveUp) {
    this.components = components;
    this.backend = backend;
    this.targetLatencyMillis = targetLatencyMillis;
    this.giveUp = giveUp;
  }

  /** Starts the checks. */
  void start() {
    schedule();
  }

  /** Stops the checks. */
  void stop() {
    stopped = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void schedule() {
    timer = components.loop().schedule(this::check, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (stopped) {
      return;
    }
    if (isServerSilent()) {
      // After a pause of this process, the response may wait to be read.
      components.loopMonitor().runAfterNextRound(this::giveUpIfSilent);
    } else {
      schedule();
    }
  }

  private void giveUpIfSilent() {
    if (!stopped && !(isServerSilent() && giveUp.getAsBoolean())) {
      schedule();
    }
  }

  private boolean isServerSilent() {
    long latencyLimitMillis =
        backend.isMissing() ? 0 : MAX_SILENT_TARGET_LATENCIES * targetLatencyMillis;
    long maxSilenceNanos = Math.max(INTERVAL_MILLIS, latencyLimitMillis) * 1_000_000;
    return backend.silentNanos(System.nanoTime()) >= maxSilenceNanos;
  }
}

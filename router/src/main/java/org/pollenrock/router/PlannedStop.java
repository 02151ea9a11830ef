package org.pollenrock.router;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.pollenrock.router.caller.CallerListener;
import org.pollenrock.settings.StopSettings;

/** Ends the service of callers so that each request gets an answer or a visible break. */
final class PlannedStop {
  private static final long POLL_MILLIS = 20;

  /** Time in which requests on connections that were idle at the stop are still refused. */
  private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

  /** Time in which the last answers are sent. */
  private static final long FLUSH_NANOS = Duration.ofSeconds(1).toNanos();

  private final CallerListener callers;
  private final EventLoop loop;
  private final StopSettings settings;
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();
  private volatile boolean aborted;

  PlannedStop(CallerListener callers, EventLoop loop, StopSettings settings) {
    this.callers = callers;
    this.loop = loop;
    this.settings = settings;
  }

  /**
   * Begins to stop.
   *
   * @return number of responses that had not ended by themselves
   */
  CompletableFuture<Integer> start() {
    long hardStop = System.nanoTime() + settings.hardStopAfterNanos();
    callers.announceStop();
    loop.schedule(
        () -> {
          callers.refuseRequests();
          awaitResponses(hardStop, System.nanoTime());
        },
        settings.drainDelayNanos(),
        TimeUnit.NANOSECONDS);
    return ended;
  }

  /** Ends without an answer to what is open. */
  void abort() {
    aborted = true;
  }

  private void awaitResponses(long hardStop, long busyNanos) {
    long now = System.nanoTime();
    boolean busy = callers.busyConnections() > 0;
    if (aborted) {
      ended.complete(callers.openResponses());
    } else if (now - hardStop >= 0) {
      int open = callers.openResponses();
      callers.stopResponses();
      awaitFlush(open, now + FLUSH_NANOS);
    } else if (callers.connections() == 0 || !busy && now - busyNanos >= IDLE_NANOS) {
      ended.complete(0);
    } else {
      later(() -> awaitResponses(hardStop, busy ? now : busyNanos));
    }
  }

  private void awaitFlush(int open, long end) {
    if (callers.busyConnections() == 0 || System.nanoTime() - end >= 0) {
      ended.complete(open);
    } else {
      later(() -> awaitFlush(open, end));
    }
  }

  private void later(Runnable task) {
    loop.schedule(task, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }
}

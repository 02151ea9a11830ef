package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Detects when the event loop runs late, for example while a process starts on a slow machine, and
 * when the process did not run at all.
 *
 * <p>A late loop finds a request and the close of its caller's connection at the same time, but
 * reads the close one round of input later. Work that reaches a server is therefore delayed by one
 * round while the loop is late, so that requests of callers who have left are not sent on.
 *
 * <p>Input that is processed after a pause may have arrived long before. {@link
 * #inputProcessedNanos} tells how long. A pause may also be a suspension of the machine, during
 * which the monotonic clock stands still.
 */
final class LoopMonitor implements LoopClock {
  /** Interval of the checks. */
  private static final long CHECK_INTERVAL_NANOS = 50_000_000L;

  /** Delay of a check above which the loop counts as late. */
  private static final long LATE_NANOS = 100_000_000L;

  /** Time for which the loop counts as late after a late check. */
  private static final long LATE_MEMORY_NANOS = 1_000_000_000L;

  /**
   * Time without processed input from which input may be pending; less than the shortest silence
   * that fails a send.
   */
  private static final long PENDING_INPUT_NANOS = 400_000_000L;

  /** Delay of a check from which the process counts as paused. */
  private static final long PAUSED_NANOS = 1_000_000_000L;

  /** Delay after which the next round of input is complete. */
  private static final long ROUND_MILLIS = 1;

  private final EventLoop loop;
  private final GatewayMetrics metrics;
  private final EventLog log;
  private final SuspensionDetector suspensions = new SuspensionDetector();
  private final List<LongConsumer> suspensionListeners = new ArrayList<>();
  private long suspendedNanos;
  private long inputProcessedNanos;
  private long runningNanos;
  private long checkedNanos;
  private long checkDueNanos;
  private long lateUntilNanos;

  LoopMonitor(EventLoop loop, GatewayMetrics metrics, EventLog log) {
    this.loop = loop;
    this.metrics = metrics;
    this.log = log;
    long now = System.nanoTime();
    this.inputProcessedNanos = now;
    this.checkedNanos = now;
    this.checkDueNanos = now + CHECK_INTERVAL_NANOS;
    this.lateUntilNanos = now;
  }

  /** Starts the periodic checks. */
  void start() {
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL_NANOS, CHECK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Runs an action now, or after the next round of input if the loop is late. */
  void runAfterInput(Runnable action) {
    long now = System.nanoTime();
    if (now - checkDueNanos > LATE_NANOS || now - lateUntilNanos < 0) {
      loop.schedule(action, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      action.run();
    }
  }

  /**
   * Adds a listener that is called with the duration of each suspension, in nanoseconds.
   *
   * @param listener the listener
   */
  void addSuspensionListener(LongConsumer listener) {
    suspensionListeners.add(listener);
  }

  /** Calls the listeners if the process was suspended since the last call. */
  void detectSuspension() {
    long suspended = suspensions.detect(System.nanoTime(), System.currentTimeMillis());
    if (suspended > 0) {
      log.line("clock_jump").with("ahead_ms", suspended / 1_000_000).write();
      suspendedNanos += suspended;
      suspensionListeners.forEach(listener -> listener.accept(suspended));
    }
  }

  /**
   * Returns whether input that arrived during a pause may still wait to be processed. Timers that
   * expired during the pause run before it.
   *
   * @return whether the loop was paused and has not processed all input since
   */
  boolean isInputPending() {
    return elapsedNanos() - inputProcessedNanos > PENDING_INPUT_NANOS;
  }

  @Override
  public long elapsedNanos() {
    detectSuspension();
    return System.nanoTime() + suspendedNanos;
  }

  @Override
  public long inputProcessedNanos() {
    return inputProcessedNanos;
  }

  @Override
  public long runningNanos() {
    return runningNanos;
  }

  private void check() {
    long elapsed = elapsedNanos();
    long now = System.nanoTime();
    long delayNanos = Math.max(0, now - checkDueNanos);
    metrics.recordLoopDelay(delayNanos);
    boolean paused = delayNanos > PAUSED_NANOS;
    runningNanos += CHECK_INTERVAL_NANOS + (paused ? 0 : delayNanos);
    if (paused) {
      log.line("process_paused").with("paused_ms", delayNanos / 1_000_000).write();
    }
    if (delayNanos > LATE_NANOS) {
      lateUntilNanos = now + LATE_MEMORY_NANOS;
    }
    // Input that arrived before the last check was processed between that check and this one.
    inputProcessedNanos = checkedNanos;
    checkedNanos = elapsed;
    checkDueNanos = now + CHECK_INTERVAL_NANOS;
  }
}

package org.pollenrock.core.dispatch;

import java.util.OptionalDouble;

/**
 * Learns how much work of one urgency is finished in a second while requests wait. Otherwise the
 * work that is finished only shows the demand.
 */
final class WorkRate {
  /** Waiting time after which earlier work counts half, unless too few requests would remain. */
  private static final long HALVING_NANOS = 2_000_000_000L;

  /** Waiting time below which the rate is not known. */
  private static final long MIN_WAITING_NANOS = 300_000_000L;

  /** Number of finished requests below which the rate is not known. */
  private static final int MIN_REQUESTS = 5;

  private static final double NANOS_PER_SECOND = 1e9;

  private double work;
  private double requests;
  private long waitingNanos;
  private boolean waiting;
  private long countedUntilNanos;

  /** Records that requests wait from now on. */
  void startWaiting(long nowNanos) {
    waiting = true;
    countedUntilNanos = nowNanos;
  }

  /** Records that no request waits any more. */
  void endWaiting(long nowNanos) {
    countTime(nowNanos);
    waiting = false;
  }

  /** Records that a request has its complete response. */
  void recordCompletion(double finishedWork, long nowNanos) {
    if (!waiting) {
      return;
    }
    countTime(nowNanos);
    work += finishedWork;
    requests++;
    if (waitingNanos > HALVING_NANOS && requests >= 2 * MIN_REQUESTS) {
      work /= 2;
      requests /= 2;
      waitingNanos /= 2;
    }
  }

  /** Returns the work that is finished in a second; empty if it is not known. */
  OptionalDouble perSecond(long nowNanos) {
    long nanos = waitingNanos + (waiting ? Math.max(0, nowNanos - countedUntilNanos) : 0);
    return nanos < MIN_WAITING_NANOS || requests < MIN_REQUESTS
        ? OptionalDouble.empty()
        : OptionalDouble.of(work * NANOS_PER_SECOND / nanos);
  }

  private void countTime(long nowNanos) {
    waitingNanos += Math.max(0, nowNanos - countedUntilNanos);
    countedUntilNanos = nowNanos;
  }
}

package org.pollenrock.core.fleet;

/** Pause without new requests for an engine that loads weights or is about to. */
final class LoadingPause {
  /** Duration of a pause, unless the engine finishes sooner. */
  private static final long DURATION_NANOS = 450_000_000L;

  private long untilNanos = Long.MIN_VALUE;
  private long silenceToleratedUntilNanos = Long.MIN_VALUE;

  /** Creates the state of an engine that is not known to load weights. */
  LoadingPause() {}

  /** Begins or prolongs the pause; returns whether the engine was not already paused. */
  boolean begin(long nowNanos) {
    boolean newlyLoading = !isActive(nowNanos);
    untilNanos = nowNanos + DURATION_NANOS;
    // An engine does not respond while it loads weights, so its silence is not a fault.
    silenceToleratedUntilNanos = untilNanos;
    return newlyLoading;
  }

  /** Ends the pause, since the engine has its new weights. */
  void end() {
    untilNanos = Long.MIN_VALUE;
  }

  /** Returns whether the engine gets no requests. */
  boolean isActive(long nowNanos) {
    return nowNanos < untilNanos;
  }

  /** Returns the time until which the silence of the engine is no fault. */
  long silenceToleratedUntilNanos() {
    return silenceToleratedUntilNanos;
  }
}

package org.pollenrock.core.fleet;

/**
 * Pause without new requests for an engine that loads weights or is about to. It ends when the
 * engine has its new weights, or by itself if nobody tells so.
 */
public final class LoadingPause {
  /** Duration of a pause if it is not known how long the engine loads. */
  private static final long DEFAULT_NANOS = 450_000_000L;

  /** Maximum duration of a pause that is not prolonged. */
  private static final long MAX_NANOS = 4_000_000_000L;

  /**
   * Time over which an engine that has loaded weights is filled again; the time after which the
   * instances know of each other's requests to it.
   */
  private static final long REFILL_NANOS = 500_000_000L;

  private long untilNanos = Long.MIN_VALUE;
  private long beganNanos = Long.MIN_VALUE;
  private long silenceToleratedUntilNanos = Long.MIN_VALUE;
  private long refilledNanos = Long.MIN_VALUE;

  /** Creates the state of an engine that is not known to load weights. */
  LoadingPause() {}

  /**
   * Begins the pause, or prolongs it if it would end sooner, for a time that is usually enough.
   *
   * @param nowNanos current time
   * @return whether the engine was not already paused
   */
  public boolean begin(long nowNanos) {
    return pause(Math.max(untilNanos, nowNanos + DEFAULT_NANOS), nowNanos);
  }

  /**
   * Begins the pause, or sets its end anew, for a known time.
   *
   * @param remainingNanos expected time until the engine has loaded its weights
   * @param nowNanos current time
   * @return whether the engine was not already paused
   */
  public boolean begin(long remainingNanos, long nowNanos) {
    return pause(nowNanos + Math.clamp(remainingNanos, 0, MAX_NANOS), nowNanos);
  }

  private boolean pause(long endNanos, long nowNanos) {
    boolean newlyLoading = !isActive(nowNanos);
    untilNanos = endNanos;
    beganNanos = nowNanos;
    // An engine does not respond while it loads weights, so its silence is not a fault.
    silenceToleratedUntilNanos = Math.max(silenceToleratedUntilNanos, endNanos);
    return newlyLoading;
  }

  /** Ends the pause, since the engine has its new weights. */
  public void end() {
    untilNanos = Long.MIN_VALUE;
    silenceToleratedUntilNanos = Math.min(silenceToleratedUntilNanos, beganNanos + DEFAULT_NANOS);
  }

  /** Begins to fill the engine again, which has just loaded its weights. */
  void beginRefill(long nowNanos) {
    refilledNanos = nowNanos + REFILL_NANOS;
  }

  /**
   * Returns the share of the engine's slots that count as in use because the other instances are
   * sending requests to it too, of which this instance does not know yet.
   */
  double refillShare(long nowNanos) {
    return nowNanos >= refilledNanos ? 0 : (double) (refilledNanos - nowNanos) / REFILL_NANOS;
  }

  /**
   * Returns whether the engine gets no requests.
   *
   * @param nowNanos current time
   * @return whether the engine is paused
   */
  public boolean isActive(long nowNanos) {
    return nowNanos < untilNanos;
  }

  /** Returns the time until which the silence of the engine is no fault. */
  long silenceToleratedUntilNanos() {
    return silenceToleratedUntilNanos;
  }
}

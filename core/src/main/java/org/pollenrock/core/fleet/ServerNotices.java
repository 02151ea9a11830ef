package org.pollenrock.core.fleet;

/**
 * What one incarnation of a server has told this instance about further requests: that it leaves,
 * or that it wants none for some time. Notices bind whatever the server list says, so they outlive
 * the server's entry.
 *
 * <p>After a hold, a single request is sent first, and more once the server has responded to it.
 */
public final class ServerNotices {
  /** Longest hold; one that is longer is cut to this, so that none lasts for ever. */
  public static final long MAX_HOLD_NANOS = 600_000_000_000L;

  /** Time without a response after which another first request may be sent. */
  private static final long TRIAL_TIMEOUT_NANOS = 1_000_000_000L;

  private boolean leaving;
  private boolean unreadableSeen;

  /** Whether there was a hold since the last response that ended one. */
  private boolean holding;

  private long heldUntilNanos;
  private boolean trialSent;
  private long trialNanos;

  /** Creates the notices of a server that has told nothing. */
  public ServerNotices() {}

  /**
   * Records that the server leaves. This is final for the incarnation.
   *
   * @return whether this was not known
   */
  boolean recordLeaving() {
    boolean news = !leaving;
    leaving = true;
    return news;
  }

  /**
   * Records that the server wants no requests for some time. Of overlapping holds, the one that
   * ends last counts.
   *
   * @param holdNanos the time
   * @param spreadNanos additional time, which differs between instances, so that they don't all
   *     return at once
   * @param nowNanos current time
   */
  void recordHold(long holdNanos, long spreadNanos, long nowNanos) {
    long untilNanos = nowNanos + Math.min(holdNanos, MAX_HOLD_NANOS) + spreadNanos;
    heldUntilNanos = holding ? Math.max(heldUntilNanos, untilNanos) : untilNanos;
    holding = true;
    trialSent = false;
  }

  /**
   * Records a response without a hold. It does not end a hold that lasts, since its request may
   * have been sent before.
   *
   * @param nowNanos current time
   */
  void recordResponse(long nowNanos) {
    if (holding && remainingHoldNanos(nowNanos) == 0) {
      holding = false;
    }
  }

  /**
   * Records that a response named a time that can't be read.
   *
   * @return whether this is the first one
   */
  boolean recordUnreadable() {
    boolean first = !unreadableSeen;
    unreadableSeen = true;
    return first;
  }

  /**
   * Records that a request is sent to the server.
   *
   * @param nowNanos current time
   */
  public void recordRequest(long nowNanos) {
    if (holding) {
      trialSent = true;
      trialNanos = nowNanos;
    }
  }

  /**
   * Returns whether the server leaves, so that it gets no more requests.
   *
   * @return whether the server leaves
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns how long the server still wants no requests.
   *
   * @param nowNanos current time
   * @return the time in nanoseconds; 0 if there is no hold
   */
  public long remainingHoldNanos(long nowNanos) {
    return holding ? Math.max(0, heldUntilNanos - nowNanos) : 0;
  }

  /**
   * Returns whether the first request after a hold is without a response yet.
   *
   * @param nowNanos current time
   * @return whether further requests have to wait
   */
  public boolean isTrialPending(long nowNanos) {
    return holding && trialSent && nowNanos - trialNanos < TRIAL_TIMEOUT_NANOS;
  }

  /**
   * Returns whether a request that was assigned to the server may still be sent.
   *
   * @param nowNanos current time
   * @return whether the server neither leaves nor has asked for a pause
   */
  public boolean permitsSend(long nowNanos) {
    return !leaving && remainingHoldNanos(nowNanos) == 0;
  }

  /**
   * Returns whether a further request may be assigned to the server.
   *
   * @param nowNanos current time
   * @return whether the server accepts requests as far as it has told
   */
  public boolean permitsRequest(long nowNanos) {
    return permitsSend(nowNanos) && !isTrialPending(nowNanos);
  }
}

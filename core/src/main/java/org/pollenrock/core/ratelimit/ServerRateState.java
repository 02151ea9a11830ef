package org.pollenrock.core.ratelimit;

import java.util.OptionalDouble;

/** The rate of one incarnation of a server, and what this instance may still send to it. */
final class ServerRateState {
  /** Time whose requests a holder may save up, in nanoseconds; at least one request. */
  private static final long BURST_NANOS = 250_000_000L;

  /**
   * Time between announcements for each instance, so that the datagrams stay few in large fleets.
   */
  private static final long REFRESH_NANOS_PER_INSTANCE = 10_000_000L;

  private static final long MIN_REFRESH_NANOS = 2_000_000_000L;

  /** Intervals of announcements without any after which a trial request may be sent. */
  private static final int TRIAL_REFRESHES = 4;

  /** Range of the delays of trial requests for each instance, of which one at a time is sent. */
  private static final long TRIAL_SPREAD_NANOS_PER_INSTANCE = 4_000_000_000L;

  /** Delays after which a change is announced again, since datagrams may be lost. */
  private static final long[] REPEAT_NANOS = {250_000_000L, 750_000_000L};

  /** Number of refreshes with which the end of a limit is announced. */
  private static final int END_REFRESHES = 3;

  /**
   * Time for which the end of a limit is remembered, so that a late announcement is known as old.
   */
  private static final long END_RETENTION_NANOS = 10_000_000_000L;

  private final RateShares shares;
  private final long server;
  private OptionalDouble rate = OptionalDouble.empty();

  /** Time to which the newest notice applies. */
  private long noticeNanos;

  /** Time at which this instance last learned of the limit, or sent a trial request. */
  private long learnedNanos;

  private double savedRequests;
  private long savedNanos;
  private double share;
  private int shareChangeCount = -1;

  /** Whether this instance knows a notice that it has neither announced nor received. */
  private boolean unannounced;

  private int repeatCount;
  private long announcedNanos;

  /**
   * Creates the rate of a server.
   *
   * @param shares shares of this instance
   * @param server hash of the server's identity
   * @param nowNanos current time
   */
  ServerRateState(RateShares shares, long server, long nowNanos) {
    this.shares = shares;
    this.server = server;
    noticeNanos = nowNanos - Long.MAX_VALUE / 2;
    learnedNanos = nowNanos;
    announcedNanos = nowNanos;
  }

  /**
   * Records a notice of the server.
   *
   * @param newRate the limit; empty if the server names none
   * @param atNanos time to which the notice applies
   * @param nowNanos current time
   * @return whether a limit began or ended
   */
  boolean recordOwnNotice(OptionalDouble newRate, long atNanos, long nowNanos) {
    if (!isNewest(newRate, atNanos)) {
      return false;
    }
    boolean changed = newRate.isPresent() != rate.isPresent();
    apply(newRate, atNanos, nowNanos);
    unannounced = newRate.isPresent() || changed || unannounced;
    if (changed) {
      repeatCount = 0;
      announcedNanos = nowNanos - refreshNanos(nowNanos);
    }
    return changed;
  }

  /**
   * Applies a notice that another instance has announced.
   *
   * @param newRate the limit; empty if the server names none
   * @param atNanos time to which the notice applies
   * @param nowNanos current time
   * @return whether a limit began or ended
   */
  boolean applyPeerNotice(OptionalDouble newRate, long atNanos, long nowNanos) {
    if (!isNewest(newRate, atNanos)) {
      return false;
    }
    boolean changed = newRate.isPresent() != rate.isPresent();
    apply(newRate, atNanos, nowNanos);
    unannounced = false;
    repeatCount = REPEAT_NANOS.length + END_REFRESHES;
    announcedNanos = nowNanos;
    return changed;
  }

  /** Returns whether a notice outweighs the known one; a limit does at the same time. */
  private boolean isNewest(OptionalDouble newRate, long atNanos) {
    long laterNanos = atNanos - noticeNanos;
    return laterNanos > 0 || laterNanos == 0 && newRate.isPresent();
  }

  private void apply(OptionalDouble newRate, long atNanos, long nowNanos) {
    saveRequests(nowNanos);
    if (rate.isEmpty()) {
      savedRequests = 0;
    }
    rate = newRate;
    noticeNanos = atNanos;
    learnedNanos = nowNanos;
  }

  /**
   * Returns whether the server names a limit.
   *
   * @return whether there is a limit
   */
  boolean isLimited() {
    return rate.isPresent();
  }

  /**
   * Returns whether this instance may send a request to the server now.
   *
   * @param nowNanos current time
   * @return whether a request may be sent
   */
  boolean maySend(long nowNanos) {
    saveRequests(nowNanos);
    return rate.isEmpty() || savedRequests >= 1 || isTrialDue(nowNanos);
  }

  /**
   * Records that a request is sent to the server.
   *
   * @param nowNanos current time
   */
  void recordSend(long nowNanos) {
    saveRequests(nowNanos);
    if (savedRequests >= 1) {
      savedRequests--;
    } else if (rate.isPresent()) {
      learnedNanos = nowNanos;
    }
  }

  /**
   * Returns whether the newest notice has to be announced to the other instances now, and counts as
   * announced from then on.
   *
   * @param nowNanos current time
   * @return whether to announce it
   */
  boolean takeAnnouncement(long nowNanos) {
    if (!unannounced || nowNanos - announcedNanos < announceDelayNanos(nowNanos)) {
      return false;
    }
    announcedNanos = nowNanos;
    repeatCount++;
    boolean repeatedOften =
        rate.isPresent()
            ? repeatCount > REPEAT_NANOS.length
            : repeatCount > REPEAT_NANOS.length + END_REFRESHES;
    unannounced = !repeatedOften;
    return true;
  }

  private long announceDelayNanos(long nowNanos) {
    return repeatCount >= 1 && repeatCount <= REPEAT_NANOS.length
        ? REPEAT_NANOS[repeatCount - 1]
        : refreshNanos(nowNanos);
  }

  /**
   * Returns whether there is nothing left to remember or to announce.
   *
   * @param nowNanos current time
   * @return whether the server can be forgotten
   */
  boolean isOver(long nowNanos) {
    return rate.isEmpty() && !unannounced && learnedAgeNanos(nowNanos) >= END_RETENTION_NANOS;
  }

  /**
   * Returns the time since this instance last learned of the limit or sent a request to the server
   * beyond its share.
   *
   * @param nowNanos current time
   * @return the time in nanoseconds
   */
  long learnedAgeNanos(long nowNanos) {
    return nowNanos - learnedNanos;
  }

  /**
   * Returns what is announced to other instances.
   *
   * @return the notice
   */
  RateNotice notice() {
    return rate.isPresent()
        ? new RateNotice.Limited(rate.getAsDouble())
        : new RateNotice.Unlimited();
  }

  /**
   * Returns the time to which the newest notice applies.
   *
   * @return the time in nanoseconds
   */
  long noticeNanos() {
    return noticeNanos;
  }

  /**
   * Returns this instance's part of the rate, as of the last request or notice.
   *
   * @return requests a second; 0 if this instance may send trial requests only
   */
  double ownRate() {
    return share * rate.orElse(0);
  }

  /**
   * Returns whether a single request may be sent to find out whether the server still names a
   * limit, because nobody has told so for long.
   */
  private boolean isTrialDue(long nowNanos) {
    int instances = shares.instanceCount(nowNanos);
    long spreadNanos =
        Long.remainderUnsigned(shares.spread(server), TRIAL_SPREAD_NANOS_PER_INSTANCE * instances);
    return nowNanos - learnedNanos >= TRIAL_REFRESHES * refreshNanos(nowNanos) + spreadNanos;
  }

  private long refreshNanos(long nowNanos) {
    return Math.max(MIN_REFRESH_NANOS, REFRESH_NANOS_PER_INSTANCE * shares.instanceCount(nowNanos));
  }

  /** Adds the requests that this instance may send since the last call. */
  private void saveRequests(long nowNanos) {
    double ratePerNano = ownRate() / 1e9;
    savedRequests =
        Math.min(
            savedRequests + ratePerNano * (nowNanos - savedNanos),
            Math.max(1, ratePerNano * BURST_NANOS));
    savedNanos = nowNanos;
    int changeCount = shares.changeCount(nowNanos);
    if (shareChangeCount != changeCount) {
      share = shares.share(server, nowNanos);
      shareChangeCount = changeCount;
    }
    if (share == 0) {
      savedRequests = 0;
    }
  }
}

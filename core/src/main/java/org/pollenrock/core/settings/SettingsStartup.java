package org.pollenrock.core.settings;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when a starting router has the newest settings that it can get.
 *
 * <p>It asks the log and all peers at once. The log is enough when it was read to its head. When
 * the log fails, the highest revision of the peers is used once each of them answered or failed, or
 * the patience is over; a lagging peer that answers first is therefore not taken as the newest.
 */
public final class SettingsStartup {
  /** How far the start is. */
  public enum Phase {
    /** Answers are outstanding that may bring newer settings. */
    COLLECTING,
    /** The settings may be used. */
    READY,
    /** Everyone was asked and nobody had settings; requests are refused until someone has. */
    UNAVAILABLE
  }

  private final Set<String> outstanding;
  private final long deadlineNanos;
  private boolean logReadToHead;
  private boolean logFailed;
  private boolean ready;

  /**
   * Begins a start.
   *
   * @param peers names or addresses of the routers that are asked
   * @param nowNanos monotonic time
   * @param patienceNanos how long to wait for answers, in nanoseconds
   */
  public SettingsStartup(Collection<String> peers, long nowNanos, long patienceNanos) {
    this.outstanding = new HashSet<>(peers);
    this.deadlineNanos = nowNanos + patienceNanos;
  }

  /**
   * A peer answered and its snapshot was given to the history, or it failed.
   *
   * @param peer the peer
   */
  public void peerDone(String peer) {
    outstanding.remove(peer);
  }

  /** The log was read to its head and no snapshot is missing. */
  public void logReadToHead() {
    logReadToHead = true;
  }

  /** The log did not answer. */
  public void logFailed() {
    logFailed = true;
  }

  /**
   * How far the start is. Once ready, it stays ready.
   *
   * @param revision the highest revision so far, {@link SettingsHistory#NO_REVISION} for none
   * @param nowNanos monotonic time
   * @return the phase
   */
  public Phase phase(long revision, long nowNanos) {
    boolean peersDone = outstanding.isEmpty() && logFailed;
    boolean settled = logReadToHead || peersDone || nowNanos - deadlineNanos >= 0;
    boolean present = revision != SettingsHistory.NO_REVISION;
    ready = ready || settled && present;
    if (ready) {
      return Phase.READY;
    }
    return settled ? Phase.UNAVAILABLE : Phase.COLLECTING;
  }
}

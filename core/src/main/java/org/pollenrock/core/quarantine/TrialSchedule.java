package org.pollenrock.core.quarantine;

import java.util.OptionalLong;

/**
 * When a request may be sent with a quarantined part that nothing has proven to crash servers. One
 * instance tries after the other, and one completion clears the part everywhere. While another part
 * has the same strikes, the quarantine is not announced as such.
 *
 * <p>The pause before a trial counts from the last strike or trial, and grows fivefold with each
 * episode of strikes, so that a part that does crash servers ends few of them. It is short while
 * nothing else completes, since then the quarantine may refuse all requests there are, and shortest
 * if another part has the same strikes, or for a request. It is short too for a request that has
 * run for long before a server ended: one that crashes servers does so when it begins to run, and a
 * long run is cut off by crashes with another cause which shorter ones escape.
 */
final class TrialSchedule {
  /** Time between the trials of one instance and the next, in which the news of a trial arrives. */
  static final long STAGGER_NANOS = 250_000_000L;

  /** Minimum time by which an announced trial is later than what is known of the part. */
  static final long NEW_TRIAL_NANOS = 1_000_000_000L;

  /** Number of servers that have to end under a part at once for it to be blamed. */
  static final int BURST_SERVERS = 5;

  /** Time after a burst in which a completion of the part anywhere would have been announced. */
  static final long BURST_BLAME_NANOS = 3_000_000_000L;

  private static final long PAUSE_NANOS = 10_000_000_000L;
  private static final long PAUSE_WITH_RIVAL_NANOS = 2_000_000_000L;
  private static final long PAUSE_WHILE_OTHERS_COMPLETE_NANOS = 20_000_000_000L;
  private static final long PAUSE_AFTER_LONG_RUN_NANOS = 5_000_000_000L;

  /** Time from the send to the end of the server from which a run counts as long. */
  static final long LONG_RUN_NANOS = 1_000_000_000L;

  private static final int GROWTH = 5;

  private TrialSchedule() {}

  /**
   * Returns the pause before the next trial.
   *
   * @param furtherEpisodes number of episodes of strikes beyond those that began the quarantine
   * @param announced whether it is a part, and no other part has the same strikes
   * @param othersCompleted whether other prompts have completed since the last strike
   * @param ranLong whether it is a request that has run for long before a server ended
   * @return the time in nanoseconds; empty if the quarantine ends before
   */
  static OptionalLong pauseNanos(
      int furtherEpisodes, boolean announced, boolean othersCompleted, boolean ranLong) {
    long pauseNanos = announced ? PAUSE_NANOS : PAUSE_WITH_RIVAL_NANOS;
    if (othersCompleted) {
      pauseNanos = ranLong ? PAUSE_AFTER_LONG_RUN_NANOS : PAUSE_WHILE_OTHERS_COMPLETE_NANOS;
    }
    for (int i = 0; i < furtherEpisodes; i++) {
      pauseNanos *= GROWTH;
      if (pauseNanos >= CrashQuarantine.QUARANTINE_NANOS) {
        return OptionalLong.empty();
      }
    }
    return OptionalLong.of(pauseNanos);
  }
}

package org.pollenrock.core.fleet;

/** Whether a server is missing, and when it is probed then. */
public final class ProbeSchedule {
  /** Delay of the first probe of an unreachable server; doubles with each further failure. */
  private static final long BACKOFF_BASE_NANOS = 250_000_000L;

  /** Doublings of the delay while another instance probes, up to the timeout of a probe. */
  private static final int MAX_PEER_DOUBLINGS = 2;

  /** Doublings after which the delay does not grow any more. */
  private static final int MAX_DOUBLINGS = 4;

  /** Upper bound of the delay, so that a recovered server is detected in time. */
  private static final long BACKOFF_MAX_NANOS = 2_000_000_000L;

  private boolean missing;
  private int unreachableCount;
  private long dueNanos;

  /** Creates the schedule of a server that is not missing. */
  ProbeSchedule() {}

  /** Marks the server missing and schedules the next probe with exponential backoff. */
  void recordUnreachable(long nowNanos) {
    long backoff = BACKOFF_BASE_NANOS << Math.min(unreachableCount, MAX_DOUBLINGS);
    unreachableCount++;
    missing = true;
    dueNanos = nowNanos + Math.min(backoff, BACKOFF_MAX_NANOS);
  }

  /** Applies another instance's report that the server is missing. */
  void applyPeerMissing(long nowNanos) {
    if (missing) {
      recordUnreachable(nowNanos);
    } else {
      missing = true;
      dueNanos = nowNanos;
    }
  }

  /**
   * Applies a report of another instance on the same network that it probes the server. Delays the
   * own probe of a missing server, so that the other instance can announce the result; the delay
   * grows with the failures, since the fault may lie with that instance.
   *
   * @param nowNanos current time
   */
  public void applyPeerProbe(long nowNanos) {
    long untilNanos =
        nowNanos + (BACKOFF_BASE_NANOS << Math.min(unreachableCount, MAX_PEER_DOUBLINGS));
    if (missing && untilNanos - dueNanos > 0) {
      dueNanos = untilNanos;
    }
  }

  /**
   * Records that a probe was sent. The next one is due after its end at the earliest.
   *
   * @param endNanos time by which the probe ends, including its timeout
   */
  public void recordProbeSent(long endNanos) {
    dueNanos = endNanos;
  }

  /** Marks the server reachable. */
  void end() {
    missing = false;
    unreachableCount = 0;
  }

  /** Returns whether the server is missing. */
  boolean isMissing() {
    return missing;
  }

  /** Returns whether the next probe is due. */
  boolean isDue(long nowNanos) {
    return missing && nowNanos - dueNanos >= 0;
  }
}

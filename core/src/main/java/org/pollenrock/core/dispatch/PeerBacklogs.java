package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Waiting work of one urgency at other instances, as last announced by each of them. */
final class PeerBacklogs {
  /**
   * Age at which an announcement expires, so that work of an instance that is frozen or cut off
   * counts no longer. An instance repeats it with each full gossip message.
   */
  private static final long MAX_AGE_NANOS = 1_000_000_000L;

  private record Announcement(WaitingWork waiting, long receivedNanos) {}

  private final Map<String, Announcement> byPeer = new HashMap<>();

  /** Replaces the last announcement of an instance. */
  void update(String peer, WaitingWork waiting, long nowNanos) {
    if (waiting.work() > 0 && waiting.workPerSecond() > 0) {
      byPeer.put(peer, new Announcement(waiting, nowNanos));
    } else {
      byPeer.remove(peer);
    }
  }

  /** Returns the sums of what other instances announce: waiting work and its rate. */
  Totals totals(long nowNanos) {
    if (count(nowNanos) == 0) {
      return Totals.NONE;
    }
    double work = 0;
    double workPerSecond = 0;
    for (Announcement each : byPeer.values()) {
      work += each.waiting().work();
      workPerSecond += each.waiting().workPerSecond();
    }
    return new Totals(work, workPerSecond);
  }

  /** Returns the number of instances whose announcements have not expired. */
  int count(long nowNanos) {
    if (!byPeer.isEmpty()) {
      byPeer.values().removeIf(each -> nowNanos - each.receivedNanos() > MAX_AGE_NANOS);
    }
    return byPeer.size();
  }

  /** Sums over the other instances. */
  record Totals(double work, double workPerSecond) {
    private static final Totals NONE = new Totals(0, 0);
  }
}

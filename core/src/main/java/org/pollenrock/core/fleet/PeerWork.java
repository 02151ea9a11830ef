package org.pollenrock.core.fleet;

import java.util.HashMap;
import java.util.Map;

/** Outstanding work of other instances at one server, as last reported by each of them. */
final class PeerWork {
  /** Age at which a report expires. A live instance repeats its report long before that. */
  private static final long MAX_REPORT_AGE_NANOS = 1_000_000_000L;

  private record Report(int requests, long unreadTokens, long reportedNanos) {}

  private final Map<Long, Report> reportsByPeer = new HashMap<>();
  private int requests;
  private long unreadTokens;

  /** Replaces the last report of a peer; a report of 0 requests only removes it. */
  void update(long peer, int newRequests, long newUnreadTokens, long nowNanos) {
    Report previous =
        newRequests == 0
            ? reportsByPeer.remove(peer)
            : reportsByPeer.put(peer, new Report(newRequests, newUnreadTokens, nowNanos));
    requests += newRequests;
    unreadTokens += newUnreadTokens;
    if (previous != null) {
      subtract(previous);
    }
  }

  /** Removes reports older than {@link #MAX_REPORT_AGE_NANOS}. */
  void expire(long nowNanos) {
    reportsByPeer
        .values()
        .removeIf(
            report -> {
              boolean expired = nowNanos - report.reportedNanos() > MAX_REPORT_AGE_NANOS;
              if (expired) {
                subtract(report);
              }
              return expired;
            });
  }

  /** Returns the number of outstanding requests of all other instances. */
  int requests() {
    return requests;
  }

  /** Returns the number of prompt tokens that the server has yet to read for other instances. */
  long unreadTokens() {
    return unreadTokens;
  }

  /** Subtracts a replaced or expired report from the totals. */
  private void subtract(Report report) {
    requests -= report.requests();
    unreadTokens -= report.unreadTokens();
  }
}

package org.pollenrock.core.speed;

import java.util.HashMap;
import java.util.Map;

/** What other instances have measured of one server, as last reported by each of them. */
final class PeerSpeeds {
  /** Age at which a report expires; instances repeat theirs several times in it. */
  private static final long MAX_AGE_NANOS = 6_000_000_000L;

  /** Bound of the weight of one report, in responses. */
  private static final double MAX_WEIGHT = 30;

  private record Received(SpeedReport report, long receivedNanos) {}

  private final Map<Long, Received> reports = new HashMap<>();

  /** Replaces the last report of an instance. */
  void apply(long peer, SpeedReport report, long nowNanos) {
    reports.put(peer, new Received(report, nowNanos));
  }

  /** Removes reports that have not been repeated. */
  void expire(long nowNanos) {
    if (!reports.isEmpty()) {
      reports.values().removeIf(received -> nowNanos - received.receivedNanos() > MAX_AGE_NANOS);
    }
  }

  /** Returns all reports as one: their weighted mean and the highest of their limits. */
  SpeedReport combined() {
    double weight = 0;
    double sum = 0;
    int limit = 0;
    for (Received received : reports.values()) {
      double reportWeight = Math.min(MAX_WEIGHT, received.report().weight());
      weight += reportWeight;
      sum += reportWeight * received.report().ratio();
      limit = Math.max(limit, received.report().limit());
    }
    return new SpeedReport(weight == 0 ? 1 : sum / weight, weight, limit);
  }
}

package org.pollenrock.core.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ModelId;

/** What servers reported last, and when. */
final class ServerReports {
  private final Map<BackendServerId, ReceivedReport> reports = new HashMap<>();

  private record ReceivedReport(ServerReport report, long receivedNanos) {}

  /** Takes a report unless a later one is known; returns the one that it replaces. */
  Optional<ServerReport> recordReport(ServerReport report, long nowNanos) {
    ReceivedReport previous = reports.get(report.server());
    if (previous != null && report.isBefore(previous.report())) {
      return Optional.of(report);
    }
    reports.put(report.server(), new ReceivedReport(report, nowNanos));
    return Optional.ofNullable(previous).map(ReceivedReport::report);
  }

  /** The report of a server while it still counts. */
  Optional<ServerReport> currentReport(
      BackendServerId server, long nowNanos, RolloutLimits limits) {
    return Optional.ofNullable(reports.get(server))
        .filter(known -> nowNanos - known.receivedNanos() < limits.maxReportAgeNanos())
        .map(ReceivedReport::report);
  }

  long receivedNanos(BackendServerId server) {
    return reports.get(server).receivedNanos();
  }

  /** Servers that serve a model and are not being changed. */
  int availableCount(
      ModelId model, Set<BackendServerId> changing, long nowNanos, RolloutLimits limits) {
    int available = 0;
    for (BackendServerId server : reports.keySet()) {
      boolean serves =
          currentReport(server, nowNanos, limits)
              .filter(report -> report.phase() == ServerReport.Phase.SERVING)
              .flatMap(ServerReport::assignment)
              .filter(assignment -> assignment.model().equals(model))
              .isPresent();
      if (serves && !changing.contains(server)) {
        available++;
      }
    }
    return available;
  }

  /** Servers that load without an order of this holder; a silent one may load until the timeout. */
  int otherLoadingCount(Set<BackendServerId> changing, long nowNanos, RolloutLimits limits) {
    int loading = 0;
    for (ReceivedReport known : reports.values()) {
      boolean counts = nowNanos - known.receivedNanos() < limits.loadTimeoutNanos();
      if (counts
          && known.report().phase() == ServerReport.Phase.LOADING
          && !changing.contains(known.report().server())) {
        loading++;
      }
    }
    return loading;
  }

  /** Drops reports that no longer count for anything. */
  void removeExpired(long nowNanos, RolloutLimits limits) {
    long keep = Math.max(limits.maxReportAgeNanos(), limits.loadTimeoutNanos());
    reports.values().removeIf(known -> nowNanos - known.receivedNanos() > keep);
  }
}

package org.pollenrock.core.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ModelId;

/** Holds the latest report of each server and the time at which it was received. */
final class ServerReports {
  private final Map<BackendServerId, ReceivedReport> reports = new HashMap<>();

  /** A report and the local time of its receipt. */
  private record ReceivedReport(ServerReport report, long receivedNanos) {}

  /**
   * Stores a report unless a later one of the same server is stored.
   *
   * @return the report that was replaced, if any; the given report if it was not stored
   */
  Optional<ServerReport> recordReport(ServerReport report, long nowNanos) {
    ReceivedReport previous = reports.get(report.server());
    if (previous != null && report.isBefore(previous.report())) {
      return Optional.of(report);
    }
    reports.put(report.server(), new ReceivedReport(report, nowNanos));
    return Optional.ofNullable(previous).map(ReceivedReport::report);
  }

  /** Returns the latest report of a server, or empty if it is missing or too old. */
  Optional<ServerReport> currentReport(
      BackendServerId server, long nowNanos, RolloutLimits limits) {
    return Optional.ofNullable(reports.get(server))
        .filter(received -> nowNanos - received.receivedNanos() < limits.maxReportAgeNanos())
        .map(ReceivedReport::report);
  }

  /** Returns the local time at which the latest report of a server was received. */
  long receivedNanos(BackendServerId server) {
    return reports.get(server).receivedNanos();
  }

  /** Returns how many servers are not being changed and serve a model by their current report. */
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

  /**
   * Returns the number of servers that load without an order of this lease holder. A server that
   * stopped reporting counts until the load timeout, because it may still be loading.
   */
  int otherLoadingCount(Set<BackendServerId> changing, long nowNanos, RolloutLimits limits) {
    int loading = 0;
    for (ReceivedReport received : reports.values()) {
      boolean recent = nowNanos - received.receivedNanos() < limits.loadTimeoutNanos();
      if (recent
          && received.report().phase() == ServerReport.Phase.LOADING
          && !changing.contains(received.report().server())) {
        loading++;
      }
    }
    return loading;
  }

  /** Removes reports that are older than both the maximum report age and the load timeout. */
  void removeExpired(long nowNanos, RolloutLimits limits) {
    long maxAgeNanos = Math.max(limits.maxReportAgeNanos(), limits.loadTimeoutNanos());
    reports.values().removeIf(received -> nowNanos - received.receivedNanos() > maxAgeNanos);
  }
}

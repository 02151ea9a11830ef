package org.pollenrock.core.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ModelId;

/** What servers reported last, and when. */
final class FleetView {
  private final Map<BackendServerId, Known> reports = new HashMap<>();

  private record Known(ServerReport report, long atNanos) {}

  /** Takes a report unless a later one is known; returns the one that it replaces. */
  Optional<ServerReport> accept(ServerReport report, long nowNanos) {
    Known previous = reports.get(report.server());
    if (previous != null && report.isBefore(previous.report())) {
      return Optional.of(report);
    }
    reports.put(report.server(), new Known(report, nowNanos));
    return Optional.ofNullable(previous).map(Known::report);
  }

  /** The report of a server while it still counts. */
  Optional<ServerReport> fresh(BackendServerId server, long nowNanos, RolloutLimits limits) {
    return Optional.ofNullable(reports.get(server))
        .filter(known -> nowNanos - known.atNanos() < limits.reportNanos())
        .map(Known::report);
  }

  long reportedNanos(BackendServerId server) {
    return reports.get(server).atNanos();
  }

  /** Servers that serve a model and are not being changed. */
  int available(ModelId model, Set<BackendServerId> changing, long nowNanos, RolloutLimits limits) {
    int available = 0;
    for (BackendServerId server : reports.keySet()) {
      boolean serves =
          fresh(server, nowNanos, limits)
              .filter(report -> report.phase() == ServerReport.Phase.SERVING)
              .flatMap(ServerReport::serves)
              .filter(assignment -> assignment.model().equals(model))
              .isPresent();
      if (serves && !changing.contains(server)) {
        available++;
      }
    }
    return available;
  }

  /** Servers that load without an order of this holder; a silent one may load until the timeout. */
  int loadingBesides(Set<BackendServerId> changing, long nowNanos, RolloutLimits limits) {
    int loading = 0;
    for (Known known : reports.values()) {
      boolean counts = nowNanos - known.atNanos() < limits.loadTimeoutNanos();
      if (counts
          && known.report().phase() == ServerReport.Phase.LOADING
          && !changing.contains(known.report().server())) {
        loading++;
      }
    }
    return loading;
  }

  /** Drops reports that no longer count for anything. */
  void forgetOld(long nowNanos, RolloutLimits limits) {
    long keep = Math.max(limits.reportNanos(), limits.loadTimeoutNanos());
    reports.values().removeIf(known -> nowNanos - known.atNanos() > keep);
  }
}

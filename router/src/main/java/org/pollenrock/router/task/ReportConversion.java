package org.pollenrock.router.task;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.adapters.engine.ServerReport;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.order.Assignment;
import org.pollenrock.core.order.ServerReport.Phase;
import org.pollenrock.core.placement.ReportedLoad;
import org.pollenrock.core.placement.ServedModel;
import org.pollenrock.router.decision.Rollouts;
import org.pollenrock.router.decision.ServerEntry;

/** Conversion of a report from its wire form to that of the decisions. */
final class ReportConversion {
  private ReportConversion() {}

  static org.pollenrock.core.placement.ServerReport toCore(ServerEntry entry, ServerReport report) {
    return new org.pollenrock.core.placement.ServerReport(
        entry.id(),
        new Incarnation(report.incarnation()),
        entry.dataCentre(),
        report.state().equals("live"),
        models(report),
        new ReportedLoad(
            report.queueTokens(),
            report.running(),
            report.slots(),
            report.prefillTokensPerSecond(),
            report.cacheCapacityBlocks(),
            report.storedBlocksPerSecond()),
        report.timeMillis());
  }

  /** The report as rollouts read it. */
  static org.pollenrock.core.order.ServerReport toWork(ServerEntry entry, ServerReport report) {
    Optional<Assignment> serves =
        models(report).stream()
            .findFirst()
            .map(model -> new Assignment(model.model(), model.weights(), Rollouts.ROLE));
    return new org.pollenrock.core.order.ServerReport(
        entry.id(),
        new Incarnation(report.incarnation()),
        report.timeMillis(),
        phase(report, serves.isPresent()),
        serves,
        report.running());
  }

  private static Phase phase(ServerReport report, boolean serves) {
    return switch (report.state()) {
      case "leaving" -> Phase.LEAVING;
      case "loading" -> Phase.LOADING;
      case "load_failed" -> Phase.LOAD_FAILED;
      default -> serves ? Phase.SERVING : Phase.EMPTY;
    };
  }

  private static List<ServedModel> models(ServerReport report) {
    List<ServedModel> models = new ArrayList<>();
    for (ServerReport.ServedModel served : report.models()) {
      if (served.model().isBlank() || served.version().isBlank()) {
        continue;
      }
      Set<AdapterId> adapters = new HashSet<>();
      served.adapters().stream()
          .filter(name -> !name.isBlank())
          .forEach(name -> adapters.add(new AdapterId(name)));
      models.add(
          new ServedModel(
              new ModelId(served.model()), new WeightsVersion(served.version()), adapters));
    }
    return models;
  }
}

package org.pollenrock.core.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.fleet.Backend;

/**
 * Updates engines to the target versions of their weights. Only a share of the engines load at the
 * same time; those with the oldest weights are updated first, and among them the least loaded ones.
 *
 * <p>An order carries the number of orders that the engine had accepted before, so that an order
 * which arrives after a newer one has no effect. The state of an engine is derived only from its
 * reports and answers.
 */
public final class WeightsRollout {
  /**
   * Maximum share of the engines that load weights at the same time, while the others serve the
   * load.
   */
  private static final double MAX_LOADING_SHARE = 0.4;

  /**
   * Interval between reads of the report of an engine that loads weights; close to the age of
   * reports.
   */
  private static final long REPORT_INTERVAL_NANOS = 120_000_000L;

  /**
   * Time after sending an order from which a report without the order shows that the order was not
   * accepted.
   */
  private static final long ORDER_CONFIRMATION_NANOS = 700_000_000L;

  /**
   * Time after which an update that has not finished no longer counts towards the maximum share.
   */
  private static final long LOAD_TIMEOUT_NANOS = 4_000_000_000L;

  private final Map<Backend, EngineUpdate> updates = new HashMap<>();

  /** Creates a rollout without updates in progress. */
  public WeightsRollout() {}

  /**
   * Returns whether any engine has older weights than its target version.
   *
   * @param backends all known servers
   * @param targets target versions
   * @return whether there are engines to update
   */
  public static boolean hasOutdatedEngines(Collection<Backend> backends, WeightsTargets targets) {
    return backends.stream().anyMatch(backend -> outdatedModel(backend, targets) != null);
  }

  /**
   * Counts the engines with older weights than their target version.
   *
   * @param backends all known servers
   * @param targets target versions
   * @return the number of engines
   */
  public static long countOutdated(Collection<Backend> backends, WeightsTargets targets) {
    return backends.stream().filter(backend -> outdatedModel(backend, targets) != null).count();
  }

  /**
   * Returns the next steps.
   *
   * @param backends all known servers
   * @param targets target versions
   * @param fencingNumber fencing number; empty while no orders may be sent
   * @param nowNanos current time
   * @return the steps; the result of each has to be recorded by one of the other methods
   */
  public List<RolloutStep> nextSteps(
      Collection<Backend> backends,
      WeightsTargets targets,
      OptionalLong fencingNumber,
      long nowNanos) {
    updates.keySet().retainAll(backends);
    updates.keySet().removeIf(backend -> outdatedModel(backend, targets) == null);
    if (fencingNumber.isEmpty()) {
      return List.of();
    }
    List<RolloutStep> steps = new ArrayList<>();
    startUpdates(backends, targets, nowNanos);
    updates.forEach(
        (backend, update) -> {
          RolloutStep step =
              nextStep(backend, update, targets, fencingNumber.getAsLong(), nowNanos);
          if (step != null) {
            steps.add(step);
          }
        });
    return steps;
  }

  /**
   * Records the report of an engine.
   *
   * @param backend the engine
   * @param report the report
   * @param nowNanos current time
   */
  public void recordReport(Backend backend, EngineReport report, long nowNanos) {
    report.weights().forEach(backend::recordWeightsVersion);
    EngineUpdate update = updates.get(backend);
    if (update == null) {
      return;
    }
    update.callPending = false;
    update.nextReadNanos = nowNanos + REPORT_INTERVAL_NANOS;
    update.report = report;
    update.reportNanos = nowNanos;
  }

  /**
   * Records that the report of an engine could not be read.
   *
   * @param backend the engine
   * @param nowNanos current time
   */
  public void recordReportFailure(Backend backend, long nowNanos) {
    EngineUpdate update = updates.get(backend);
    if (update != null) {
      update.callPending = false;
      update.nextReadNanos = nowNanos + 2 * REPORT_INTERVAL_NANOS;
    }
  }

  /**
   * Records the answer to an order.
   *
   * @param order the order
   * @param answer the answer
   * @param nowNanos current time
   */
  public void recordAnswer(LoadOrder order, OrderAnswer answer, long nowNanos) {
    EngineUpdate update = updates.get(order.backend());
    if (update == null) {
      return;
    }
    update.callPending = false;
    update.report = null;
    update.nextReadNanos = nowNanos + REPORT_INTERVAL_NANOS;
    switch (answer) {
      case HOLDS -> order.backend().recordWeightsVersion(order.model(), order.version());
      case CONFLICT, INVALID, FENCED, MISPLACED -> update.orderNanos = Long.MIN_VALUE;
      case ACCEPTED, UNKNOWN -> update.orderNanos = nowNanos;
      default -> throw new IllegalStateException("unexpected answer to a load order: " + answer);
    }
  }

  private void startUpdates(Collection<Backend> backends, WeightsTargets targets, long nowNanos) {
    int engines = 0;
    List<Backend> outdatedEngines = new ArrayList<>();
    for (Backend backend : backends) {
      if (backend.entry().weightsVersions().isEmpty()) {
        continue;
      }
      engines++;
      if (outdatedModel(backend, targets) != null && !updates.containsKey(backend)) {
        outdatedEngines.add(backend);
      }
    }
    int capacity =
        Math.max(1, (int) Math.ceil(engines * MAX_LOADING_SHARE)) - countRunningUpdates(nowNanos);
    outdatedEngines.sort(
        Comparator.comparingLong((Backend backend) -> outdatedVersion(backend, targets))
            .thenComparingDouble(backend -> backend.load(nowNanos)));
    for (Backend backend :
        outdatedEngines.subList(0, Math.clamp(capacity, 0, outdatedEngines.size()))) {
      updates.put(backend, new EngineUpdate(nowNanos));
    }
  }

  private static long outdatedVersion(Backend backend, WeightsTargets targets) {
    return backend.weightsVersion(outdatedModel(backend, targets)).orElse(0);
  }

  private int countRunningUpdates(long nowNanos) {
    return (int)
        updates.values().stream()
            .filter(update -> nowNanos - update.startNanos < LOAD_TIMEOUT_NANOS)
            .count();
  }

  /** Returns the next step of an update; null if there is none at present. */
  private static RolloutStep nextStep(
      Backend backend,
      EngineUpdate update,
      WeightsTargets targets,
      long fencingNumber,
      long nowNanos) {
    if (update.callPending || !backend.notices().permitsRequest(nowNanos)) {
      return null;
    }
    boolean orderSent = update.orderNanos != Long.MIN_VALUE;
    boolean orderUnconfirmed =
        orderSent && update.reportNanos - update.orderNanos < ORDER_CONFIRMATION_NANOS;
    if (update.report == null || update.report.busy() || orderUnconfirmed) {
      if (nowNanos < update.nextReadNanos) {
        return null;
      }
      update.callPending = true;
      return new RolloutStep.ReadReport(backend);
    }
    update.callPending = true;
    String model = outdatedModel(backend, targets);
    return new RolloutStep.SendOrder(
        new LoadOrder(
            backend,
            model,
            targets.newestVersion(model).orElseThrow(),
            update.report.acceptedOrders(),
            fencingNumber));
  }

  /** Returns a model whose weights on the server are outdated; null if there is none. */
  private static String outdatedModel(Backend backend, WeightsTargets targets) {
    if (backend.notices().isLeaving()) {
      return null;
    }
    for (Map.Entry<String, Long> target : targets.newestVersions().entrySet()) {
      OptionalLong loadedVersion = backend.weightsVersion(target.getKey());
      if (loadedVersion.isPresent() && loadedVersion.getAsLong() < target.getValue()) {
        return target.getKey();
      }
    }
    return null;
  }

  /** Progress of the update of one engine. */
  private static final class EngineUpdate {
    private final long startNanos;
    private boolean callPending;
    private long nextReadNanos;
    private EngineReport report;
    private long reportNanos;
    private long orderNanos = Long.MIN_VALUE;

    private EngineUpdate(long nowNanos) {
      startNanos = nowNanos;
      nextReadNanos = nowNanos;
      reportNanos = nowNanos;
    }
  }
}

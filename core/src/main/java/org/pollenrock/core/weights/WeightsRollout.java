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
 * Brings engines to the named weights, a part of them at a time, those with the oldest weights and
 * among them the least loaded first.
 *
 * <p>An order carries the number of orders that the engine had accepted, so that an order which is
 * carried out late does nothing after a newer one. What an engine did is believed from its reports
 * and answers alone.
 */
public final class WeightsRollout {
  /**
   * Part of the engines of a model that load at the same time; the others bear the load meanwhile.
   */
  private static final double MAX_LOADING_SHARE = 0.4;

  /** Interval of reading the report of an engine that loads, close to the age of reports. */
  private static final long REPORT_INTERVAL_NANOS = 120_000_000L;

  /** Age of an order after which a report without it shows that it was not accepted. */
  private static final long ORDER_CONFIRMATION_NANOS = 700_000_000L;

  /** Time after which an engine that did not finish loading makes room for the next one. */
  private static final long LOAD_TIMEOUT_NANOS = 4_000_000_000L;

  private final Map<Backend, EngineUpdate> updates = new HashMap<>();

  /** Creates a rollout without changes under way. */
  public WeightsRollout() {}

  /**
   * Tells whether engines have older weights than named.
   *
   * @param backends every known server
   * @param targets named versions
   * @return whether there is work
   */
  public static boolean hasOutdatedEngines(Collection<Backend> backends, WeightsTargets targets) {
    return backends.stream().anyMatch(backend -> outdatedModel(backend, targets) != null);
  }

  /**
   * Counts the engines with older weights than named.
   *
   * @param backends every known server
   * @param targets named versions
   * @return the number
   */
  public static long countOutdated(Collection<Backend> backends, WeightsTargets targets) {
    return backends.stream().filter(backend -> outdatedModel(backend, targets) != null).count();
  }

  /**
   * Decides the next steps.
   *
   * @param backends every known server
   * @param targets named versions
   * @param fence fencing number; empty while no orders may be given
   * @param nowNanos current time
   * @return the steps; each must be answered by one of the other methods
   */
  public List<RolloutStep> nextSteps(
      Collection<Backend> backends, WeightsTargets targets, OptionalLong fence, long nowNanos) {
    updates.keySet().retainAll(backends);
    updates.keySet().removeIf(backend -> outdatedModel(backend, targets) == null);
    if (fence.isEmpty()) {
      return List.of();
    }
    List<RolloutStep> steps = new ArrayList<>();
    startUpdates(backends, targets, nowNanos);
    updates.forEach(
        (backend, change) -> {
          RolloutStep step = nextStep(backend, change, targets, fence.getAsLong(), nowNanos);
          if (step != null) {
            steps.add(step);
          }
        });
    return steps;
  }

  /**
   * An engine's report was read.
   *
   * @param backend the engine
   * @param report the report
   * @param nowNanos current time
   */
  public void recordReport(Backend backend, EngineReport report, long nowNanos) {
    report.weights().forEach(backend::recordWeightsVersion);
    EngineUpdate change = updates.get(backend);
    if (change == null) {
      return;
    }
    change.callPending = false;
    change.nextReadNanos = nowNanos + REPORT_INTERVAL_NANOS;
    change.report = report;
    change.reportNanos = nowNanos;
  }

  /**
   * An engine's report could not be read.
   *
   * @param backend the engine
   * @param nowNanos current time
   */
  public void recordReportFailure(Backend backend, long nowNanos) {
    EngineUpdate change = updates.get(backend);
    if (change != null) {
      change.callPending = false;
      change.nextReadNanos = nowNanos + 2 * REPORT_INTERVAL_NANOS;
    }
  }

  /**
   * An order was answered.
   *
   * @param order the order
   * @param answer the answer
   * @param nowNanos current time
   */
  public void recordAnswer(LoadOrder order, OrderAnswer answer, long nowNanos) {
    EngineUpdate change = updates.get(order.backend());
    if (change == null) {
      return;
    }
    change.callPending = false;
    change.report = null;
    change.nextReadNanos = nowNanos + REPORT_INTERVAL_NANOS;
    switch (answer) {
      case HOLDS -> order.backend().recordWeightsVersion(order.model(), order.version());
      case CONFLICT, INVALID, FENCED, MISPLACED -> change.orderNanos = Long.MIN_VALUE;
      case ACCEPTED, UNKNOWN -> change.orderNanos = nowNanos;
      default -> throw new IllegalStateException("answer " + answer);
    }
  }

  private void startUpdates(Collection<Backend> backends, WeightsTargets targets, long nowNanos) {
    int engines = 0;
    List<Backend> waiting = new ArrayList<>();
    for (Backend backend : backends) {
      if (backend.entry().weightsVersions().isEmpty()) {
        continue;
      }
      engines++;
      if (outdatedModel(backend, targets) != null && !updates.containsKey(backend)) {
        waiting.add(backend);
      }
    }
    int room =
        Math.max(1, (int) Math.ceil(engines * MAX_LOADING_SHARE)) - countRunningUpdates(nowNanos);
    waiting.sort(
        Comparator.comparingLong((Backend backend) -> outdatedVersion(backend, targets))
            .thenComparingDouble(backend -> backend.load(nowNanos)));
    for (Backend backend : waiting.subList(0, Math.clamp(room, 0, waiting.size()))) {
      updates.put(backend, new EngineUpdate(nowNanos));
    }
  }

  private static long outdatedVersion(Backend backend, WeightsTargets targets) {
    return backend.weightsVersion(outdatedModel(backend, targets)).orElse(0);
  }

  private int countRunningUpdates(long nowNanos) {
    return (int)
        updates.values().stream()
            .filter(change -> nowNanos - change.startNanos < LOAD_TIMEOUT_NANOS)
            .count();
  }

  private static RolloutStep nextStep(
      Backend backend, EngineUpdate change, WeightsTargets targets, long fence, long nowNanos) {
    if (change.callPending) {
      return null;
    }
    boolean ordered = change.orderNanos != Long.MIN_VALUE;
    boolean unsettled =
        ordered && change.reportNanos - change.orderNanos < ORDER_CONFIRMATION_NANOS;
    if (change.report == null || change.report.busy() || unsettled) {
      if (nowNanos < change.nextReadNanos) {
        return null;
      }
      change.callPending = true;
      return new RolloutStep.ReadReport(backend);
    }
    change.callPending = true;
    String model = outdatedModel(backend, targets);
    return new RolloutStep.SendOrder(
        new LoadOrder(
            backend,
            model,
            targets.newestVersion(model).orElseThrow(),
            change.report.acceptedOrders(),
            fence));
  }

  private static String outdatedModel(Backend backend, WeightsTargets targets) {
    for (Map.Entry<String, Long> target : targets.newestVersions().entrySet()) {
      OptionalLong has = backend.weightsVersion(target.getKey());
      if (has.isPresent() && has.getAsLong() < target.getValue()) {
        return target.getKey();
      }
    }
    return null;
  }

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

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
  private static final double CONCURRENT_SHARE = 0.4;

  /** Interval of reading the report of an engine that loads, close to the age of reports. */
  private static final long POLL_NANOS = 120_000_000L;

  /** Age of an order after which a report without it shows that it was not accepted. */
  private static final long ORDER_SETTLED_NANOS = 700_000_000L;

  /** Time after which an engine that did not finish loading makes room for the next one. */
  private static final long STALLED_NANOS = 4_000_000_000L;

  private final Map<Backend, Change> changes = new HashMap<>();

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
    return backends.stream().anyMatch(backend -> outdated(backend, targets) != null);
  }

  /**
   * Counts the engines with older weights than named.
   *
   * @param backends every known server
   * @param targets named versions
   * @return the number
   */
  public static long countOutdated(Collection<Backend> backends, WeightsTargets targets) {
    return backends.stream().filter(backend -> outdated(backend, targets) != null).count();
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
    changes.keySet().retainAll(backends);
    changes.keySet().removeIf(backend -> outdated(backend, targets) == null);
    if (fence.isEmpty()) {
      return List.of();
    }
    List<RolloutStep> steps = new ArrayList<>();
    start(backends, targets, nowNanos);
    changes.forEach(
        (backend, change) -> {
          RolloutStep step = step(backend, change, targets, fence.getAsLong(), nowNanos);
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
    Change change = changes.get(backend);
    if (change == null) {
      return;
    }
    change.callOpen = false;
    change.nextReadNanos = nowNanos + POLL_NANOS;
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
    Change change = changes.get(backend);
    if (change != null) {
      change.callOpen = false;
      change.nextReadNanos = nowNanos + 2 * POLL_NANOS;
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
    Change change = changes.get(order.backend());
    if (change == null) {
      return;
    }
    change.callOpen = false;
    change.report = null;
    change.nextReadNanos = nowNanos + POLL_NANOS;
    switch (answer) {
      case HOLDS -> order.backend().recordWeightsVersion(order.model(), order.version());
      case CONFLICT, INVALID, FENCED, MISPLACED -> change.orderNanos = Long.MIN_VALUE;
      case ACCEPTED, UNKNOWN -> change.orderNanos = nowNanos;
      default -> throw new IllegalStateException("answer " + answer);
    }
  }

  private void start(Collection<Backend> backends, WeightsTargets targets, long nowNanos) {
    int engines = 0;
    List<Backend> waiting = new ArrayList<>();
    for (Backend backend : backends) {
      if (backend.entry().weightsVersions().isEmpty()) {
        continue;
      }
      engines++;
      if (outdated(backend, targets) != null && !changes.containsKey(backend)) {
        waiting.add(backend);
      }
    }
    int room = Math.max(1, (int) Math.ceil(engines * CONCURRENT_SHARE)) - running(nowNanos);
    waiting.sort(
        Comparator.comparingLong((Backend backend) -> oldestWeights(backend, targets))
            .thenComparingDouble(backend -> backend.load(nowNanos)));
    for (Backend backend : waiting.subList(0, Math.clamp(room, 0, waiting.size()))) {
      changes.put(backend, new Change(nowNanos));
    }
  }

  private static long oldestWeights(Backend backend, WeightsTargets targets) {
    return backend.weightsVersion(outdated(backend, targets)).orElse(0);
  }

  private int running(long nowNanos) {
    return (int)
        changes.values().stream()
            .filter(change -> nowNanos - change.sinceNanos < STALLED_NANOS)
            .count();
  }

  private static RolloutStep step(
      Backend backend, Change change, WeightsTargets targets, long fence, long nowNanos) {
    if (change.callOpen) {
      return null;
    }
    boolean ordered = change.orderNanos != Long.MIN_VALUE;
    boolean unsettled = ordered && change.reportNanos - change.orderNanos < ORDER_SETTLED_NANOS;
    if (change.report == null || change.report.busy() || unsettled) {
      if (nowNanos < change.nextReadNanos) {
        return null;
      }
      change.callOpen = true;
      return new RolloutStep.ReadReport(backend);
    }
    change.callOpen = true;
    String model = outdated(backend, targets);
    return new RolloutStep.SendOrder(
        new LoadOrder(
            backend,
            model,
            targets.newestVersion(model).orElseThrow(),
            change.report.acceptedOrders(),
            fence));
  }

  private static String outdated(Backend backend, WeightsTargets targets) {
    for (Map.Entry<String, Long> target : targets.newestVersions().entrySet()) {
      OptionalLong has = backend.weightsVersion(target.getKey());
      if (has.isPresent() && has.getAsLong() < target.getValue()) {
        return target.getKey();
      }
    }
    return null;
  }

  private static final class Change {
    private final long sinceNanos;
    private boolean callOpen;
    private long nextReadNanos;
    private EngineReport report;
    private long reportNanos;
    private long orderNanos = Long.MIN_VALUE;

    private Change(long nowNanos) {
      sinceNanos = nowNanos;
      nextReadNanos = nowNanos;
      reportNanos = nowNanos;
    }
  }
}

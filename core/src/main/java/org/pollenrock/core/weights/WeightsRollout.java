package org.pollenrock.core.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;

/**
 * Updates engines to the target versions of their weights. How many load at the same time follows
 * from the load and from the time left, as {@link RolloutPace} decides; those with the oldest
 * weights are updated first, and among them the least loaded ones.
 *
 * <p>An engine refuses the requests that it has not begun to run when it accepts an order. It gets
 * no new requests for a short time before, in which it begins those that it has.
 *
 * <p>An order carries the number of orders that the engine had accepted before, so that an order
 * which arrives after a newer one has no effect. The state of an engine is derived only from its
 * reports and answers.
 */
public final class WeightsRollout {
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
   * Time after which an update that has not finished no longer counts towards the maximum number,
   * and its engine is no longer announced.
   */
  private static final long LOAD_TIMEOUT_NANOS = 4_000_000_000L;

  /**
   * Minimum time without new requests before an order to an engine with requests; requests of
   * instances that do not report their work here may be under way.
   */
  private static final long MIN_EMPTYING_NANOS = 100_000_000L;

  /** Maximum time without new requests before an order. */
  private static final long MAX_EMPTYING_NANOS = 400_000_000L;

  /** Load below which an engine counts as idle, in requests. */
  private static final double IDLE_LOAD = 0.5;

  /** Number of times that an engine with new weights is announced; datagrams may be lost. */
  private static final int LOADED_ANNOUNCEMENTS = 3;

  private final Map<Backend, EngineUpdate> updates = new HashMap<>();
  private final Map<RolloutNews.Loaded, Integer> loadedAnnouncements = new HashMap<>();
  private final RolloutPace pace = new RolloutPace();
  private Set<String> waitingServices = Set.of();
  private boolean newsPending;
  private long nextNewsNanos = Long.MIN_VALUE;

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
    finishUpdates(targets, nowNanos);
    if (fencingNumber.isEmpty()) {
      updates.values().removeIf(update -> !update.isOrdered());
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
   * Sets the services for whose engines requests wait at this instance.
   *
   * @param services names of the services
   */
  public void setWaitingServices(Collection<String> services) {
    waitingServices = Set.copyOf(services);
  }

  /**
   * Returns whether there are neither updates in progress nor engines to be announced.
   *
   * @return whether nothing has to be done unless an engine has older weights than its target
   */
  public boolean isIdle() {
    return updates.isEmpty() && loadedAnnouncements.isEmpty();
  }

  /**
   * Returns what is to be announced now: at once if an engine is about to load or has loaded, and
   * repeatedly since announcements may be lost.
   *
   * @param intervalNanos time between two announcements of the same
   * @param nowNanos current time
   * @return the engines to announce
   */
  public RolloutNews takeNews(long intervalNanos, long nowNanos) {
    if (!newsPending && nowNanos < nextNewsNanos) {
      return new RolloutNews(List.of(), List.of());
    }
    newsPending = false;
    nextNewsNanos = nowNanos + intervalNanos;
    List<RolloutNews.Loading> loading = new ArrayList<>();
    updates.forEach(
        (backend, update) -> {
          if (update.isAway(nowNanos)) {
            long expected = update.emptyingNanos + MAX_EMPTYING_NANOS + pace.expectedLoadNanos();
            long remaining = Math.max(expected - nowNanos, 2 * intervalNanos);
            loading.add(new RolloutNews.Loading(backend, remaining));
          }
        });
    List<RolloutNews.Loaded> loaded = List.copyOf(loadedAnnouncements.keySet());
    loadedAnnouncements.replaceAll((engine, left) -> left - 1);
    loadedAnnouncements.values().removeIf(left -> left == 0);
    return new RolloutNews(loading, loaded);
  }

  /**
   * Records the report of an engine.
   *
   * @param backend the engine
   * @param report the report
   * @param nowNanos current time
   */
  public void recordReport(Backend backend, EngineReport report, long nowNanos) {
    report
        .weights()
        .forEach((model, version) -> backend.recordWeightsVersion(model, version, nowNanos));
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
      case HOLDS -> order.backend().recordWeightsVersion(order.model(), order.version(), nowNanos);
      case CONFLICT, INVALID, FENCED, MISPLACED -> update.orderNanos = Long.MIN_VALUE;
      case ACCEPTED, UNKNOWN -> update.orderNanos = nowNanos;
      default -> throw new IllegalStateException("unexpected answer to a load order: " + answer);
    }
  }

  /** Ends the updates of engines that have newer weights than before or left. */
  private void finishUpdates(WeightsTargets targets, long nowNanos) {
    int loading = (int) updates.values().stream().filter(EngineUpdate::isOrdered).count();
    updates
        .entrySet()
        .removeIf(
            entry -> {
              Backend backend = entry.getKey();
              EngineUpdate update = entry.getValue();
              long version = backend.weightsVersion(update.model).orElse(update.version);
              if (version <= update.version) {
                return backend.notices().isLeaving() || outdatedModel(backend, targets) == null;
              }
              recordLoaded(backend, update, version, loading, nowNanos);
              return true;
            });
  }

  private void recordLoaded(
      Backend backend, EngineUpdate update, long version, int loading, long nowNanos) {
    loadedAnnouncements.put(
        new RolloutNews.Loaded(backend, update.model, version), LOADED_ANNOUNCEMENTS);
    newsPending = true;
    if (update.isOrdered() && nowNanos - update.startNanos < LOAD_TIMEOUT_NANOS) {
      pace.recordLoad(nowNanos - update.orderNanos, Math.max(loading, update.concurrent));
    }
  }

  private void startUpdates(Collection<Backend> backends, WeightsTargets targets, long nowNanos) {
    List<Backend> engines =
        backends.stream().filter(backend -> !backend.entry().weightsVersions().isEmpty()).toList();
    List<OutdatedEngine> outdated = outdatedEngines(engines, targets, nowNanos);
    long[] remainingNanos =
        outdated.stream().mapToLong(OutdatedEngine::remainingNanos).sorted().toArray();
    int maxLoading =
        pace.maxLoading(
            engines.size(), spareEngines(engines, nowNanos), remainingNanos, MAX_EMPTYING_NANOS);
    outdated.removeIf(engine -> updates.containsKey(engine.backend()));
    outdated.sort(
        Comparator.comparingLong(OutdatedEngine::version)
            .thenComparingDouble(OutdatedEngine::load));
    int started = Math.clamp(maxLoading - countRunningUpdates(nowNanos), 0, outdated.size());
    for (OutdatedEngine engine : outdated.subList(0, started)) {
      updates.put(engine.backend(), new EngineUpdate(engine.model(), engine.version(), nowNanos));
    }
  }

  private static List<OutdatedEngine> outdatedEngines(
      List<Backend> engines, WeightsTargets targets, long nowNanos) {
    List<OutdatedEngine> outdated = new ArrayList<>();
    for (Backend engine : engines) {
      String model = outdatedModel(engine, targets);
      if (model != null) {
        long version = engine.weightsVersion(model).orElseThrow();
        long remainingNanos = targets.replacedFromNanos(model, version).orElse(nowNanos) - nowNanos;
        outdated.add(
            new OutdatedEngine(engine, model, version, remainingNanos, engine.load(nowNanos)));
      }
    }
    return outdated;
  }

  /** Returns the number of engines whose slots the present load does not need; 0 if any waits. */
  private double spareEngines(List<Backend> engines, long nowNanos) {
    double needed = 0;
    for (Backend engine : engines) {
      if (waitingServices.contains(engine.entry().service())) {
        return 0;
      }
      if (engine.slots() > 0) {
        needed += engine.load(nowNanos) / engine.slots();
      }
    }
    return Math.max(0, engines.size() - needed);
  }

  private int countRunningUpdates(long nowNanos) {
    return (int)
        updates.values().stream()
            .filter(update -> nowNanos - update.startNanos < LOAD_TIMEOUT_NANOS)
            .count();
  }

  /** Returns the next step of an update; null if there is none at present. */
  private RolloutStep nextStep(
      Backend backend,
      EngineUpdate update,
      WeightsTargets targets,
      long fencingNumber,
      long nowNanos) {
    if (update.callPending || !backend.notices().permitsRequest(nowNanos)) {
      return null;
    }
    boolean orderUnconfirmed =
        update.isOrdered() && update.reportNanos - update.orderNanos < ORDER_CONFIRMATION_NANOS;
    if (update.report == null || update.report.busy() || orderUnconfirmed) {
      if (nowNanos < update.nextReadNanos) {
        return null;
      }
      update.callPending = true;
      return new RolloutStep.ReadReport(backend);
    }
    if (update.emptyingNanos == Long.MIN_VALUE) {
      update.emptyingNanos = nowNanos;
      newsPending = true;
    }
    if (!isEmptied(backend, nowNanos - update.emptyingNanos, nowNanos)) {
      return null;
    }
    update.callPending = true;
    update.concurrent = 1 + (int) updates.values().stream().filter(EngineUpdate::isOrdered).count();
    return new RolloutStep.SendOrder(
        new LoadOrder(
            backend,
            update.model,
            targets.newestVersion(update.model).orElseThrow(),
            update.report.acceptedOrders(),
            fencingNumber));
  }

  /** Returns whether an engine without new requests has begun to run those that it has. */
  private static boolean isEmptied(Backend backend, long emptyingNanos, long nowNanos) {
    return emptyingNanos >= MAX_EMPTYING_NANOS
        || backend.load(nowNanos) < IDLE_LOAD
        || emptyingNanos >= MIN_EMPTYING_NANOS && backend.unreadTokens(1, nowNanos) < 1;
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

  /**
   * Engine with weights that are older than their target.
   *
   * @param remainingNanos time until the engine is used only as a fallback
   */
  private record OutdatedEngine(
      Backend backend, String model, long version, long remainingNanos, double load) {}

  /** Progress of the update of one engine. */
  private static final class EngineUpdate {
    private final String model;
    private final long version;
    private final long startNanos;
    private boolean callPending;
    private long nextReadNanos;
    private EngineReport report;
    private long reportNanos;
    private long emptyingNanos = Long.MIN_VALUE;
    private long orderNanos = Long.MIN_VALUE;
    private int concurrent;

    private EngineUpdate(String model, long version, long nowNanos) {
      this.model = model;
      this.version = version;
      startNanos = nowNanos;
      nextReadNanos = nowNanos;
      reportNanos = nowNanos;
    }

    /** Returns whether an order was sent that the engine may have accepted. */
    private boolean isOrdered() {
      return orderNanos != Long.MIN_VALUE;
    }

    /** Returns whether the engine should get no requests. */
    private boolean isAway(long nowNanos) {
      return emptyingNanos != Long.MIN_VALUE && nowNanos - startNanos < LOAD_TIMEOUT_NANOS;
    }
  }
}

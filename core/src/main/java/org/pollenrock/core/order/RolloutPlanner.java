package org.pollenrock.core.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ModelId;

/**
 * Brings servers from what they report to what the target states.
 *
 * <p>A server that serves is drained before it is ordered to load. At most the allowed number of
 * servers drain or load at once, and a server is taken out of service only while enough others
 * serve its model. Too many failed loads stop the rollout until the target changes. Everything but
 * the start of a drain can be seen in reports, so a new lease holder continues from them alone.
 */
public final class RolloutPlanner {
  /** Time for which one drain message holds work back from a server. */
  public static final long DRAIN_HOLD_NANOS = 3_000_000_000L;

  private static final long DRAIN_REPEAT_NANOS = DRAIN_HOLD_NANOS / 3;
  private static final RolloutState IDLE =
      new RolloutState(RolloutState.Phase.IDLE, "", 0, 0, 0, 0, 0);

  private final ServerReports serverReports = new ServerReports();
  private final Map<BackendServerId, ServerChange> changes = new TreeMap<>();
  private RolloutTarget target;
  private FencingNumber fencingNumber;
  private long leaseStartNanos;
  private int failures;
  private String lastFailure = "";
  private RolloutState state = IDLE;
  private List<OrderDecision> decisions = new ArrayList<>();

  /**
   * The lease was acquired or renewed; a renewal only raises the number.
   *
   * @param newFence number to put on orders
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> recordLeaseAcquired(FencingNumber newFence, long nowNanos) {
    if (fencingNumber == null) {
      leaseStartNanos = nowNanos;
    }
    fencingNumber = newFence;
    return plan(nowNanos);
  }

  /**
   * The lease must not be used any more. Drains end by themselves.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> recordLeaseLost(long nowNanos) {
    fencingNumber = null;
    changes.clear();
    return plan(nowNanos);
  }

  /**
   * Settings state a target; another one than before clears a stop.
   *
   * @param newTarget the target
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> setTarget(RolloutTarget newTarget, long nowNanos) {
    boolean same =
        target != null
            && target.assignments().equals(newTarget.assignments())
            && target.limits().equals(newTarget.limits());
    target = newTarget;
    if (!same) {
      failures = 0;
      lastFailure = "";
    }
    return plan(nowNanos);
  }

  /**
   * A server reported; a report that was made before a known one is ignored.
   *
   * @param report the report
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> recordReport(ServerReport report, long nowNanos) {
    Optional<ServerReport> previous = serverReports.recordReport(report, nowNanos);
    boolean repeated =
        previous
            .filter(before -> before.phase() == ServerReport.Phase.LOAD_FAILED)
            .filter(before -> before.incarnation().equals(report.incarnation()))
            .filter(before -> before.assignment().equals(report.assignment()))
            .isPresent();
    if (target != null && !repeated && report.phase() == ServerReport.Phase.LOAD_FAILED) {
      Assignment wanted = target.assignments().get(report.server());
      if (wanted != null && report.hasFailedToLoad(wanted)) {
        changes.remove(report.server());
        recordFailure(report.server(), "failed to load");
      }
    }
    return plan(nowNanos);
  }

  /**
   * A server refused an order because it saw a larger number: another router holds the lease.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> recordOrderRefusal(long nowNanos) {
    return recordLeaseLost(nowNanos);
  }

  /**
   * Time passed.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<OrderDecision> tick(long nowNanos) {
    return plan(nowNanos);
  }

  /**
   * Progress as of the last input.
   *
   * @return the state
   */
  public RolloutState state() {
    return state;
  }

  private List<OrderDecision> plan(long nowNanos) {
    RolloutState next = IDLE;
    if (fencingNumber != null && target != null) {
      serverReports.removeExpired(nowNanos, target.limits());
      for (BackendServerId server : List.copyOf(changes.keySet())) {
        advanceChange(server, changes.get(server), nowNanos);
      }
      next = advanceRollout(nowNanos);
    }
    boolean moved = next.phase() != state.phase() || !next.reason().equals(state.reason());
    state = next;
    if (moved) {
      decisions.add(new OrderDecision.StateChanged(next));
    }
    List<OrderDecision> result = decisions;
    decisions = new ArrayList<>();
    return result;
  }

  private RolloutState advanceRollout(long nowNanos) {
    RolloutLimits limits = target.limits();
    if (isStopped()) {
      cancelDrains();
      return stateOf(
          RolloutState.Phase.STOPPED, failures + " failed loads, last: " + lastFailure, nowNanos);
    }
    if (nowNanos - leaseStartNanos < limits.settleNanos()) {
      return stateOf(RolloutState.Phase.SETTLING, "", nowNanos);
    }
    String blocked = startChanges(nowNanos);
    RolloutState running = stateOf(RolloutState.Phase.RUNNING, "", nowNanos);
    if (running.done() == running.servers()) {
      return stateOf(RolloutState.Phase.DONE, "", nowNanos);
    }
    boolean idle = running.loading() + running.draining() == 0;
    return idle && !blocked.isEmpty()
        ? stateOf(RolloutState.Phase.BLOCKED, blocked, nowNanos)
        : running;
  }

  /** Starts changes while slots are free; returns why the last server that waits has to. */
  private String startChanges(long nowNanos) {
    RolloutLimits limits = target.limits();
    String blocked = "";
    for (ServerReport report : candidates(nowNanos)) {
      int busy =
          changes.size() + serverReports.otherLoadingCount(changes.keySet(), nowNanos, limits);
      if (busy >= limits.maxConcurrentLoads()) {
        return blocked;
      }
      blocked = startChange(report, nowNanos).orElse(blocked);
    }
    return blocked;
  }

  /** Servers to change that can be changed now, those without a model first. */
  private List<ServerReport> candidates(long nowNanos) {
    List<ServerReport> candidates = new ArrayList<>();
    target
        .assignmentsInServerOrder()
        .forEach(
            (server, wanted) ->
                serverReports
                    .currentReport(server, nowNanos, target.limits())
                    .filter(report -> !changes.containsKey(server))
                    .filter(report -> !report.isServing(wanted))
                    .filter(RolloutPlanner::isChangeable)
                    .ifPresent(candidates::add));
    candidates.sort(Comparator.comparing(report -> report.phase() == ServerReport.Phase.SERVING));
    return candidates;
  }

  private static boolean isChangeable(ServerReport report) {
    return report.phase() != ServerReport.Phase.LEAVING
        && report.phase() != ServerReport.Phase.LOADING;
  }

  /** Starts to change a server, or returns why it cannot be taken out of service. */
  private Optional<String> startChange(ServerReport report, long nowNanos) {
    BackendServerId server = report.server();
    Assignment wanted = target.assignments().get(server);
    ServerChange change = new ServerChange(wanted, report.incarnation(), nowNanos);
    if (report.phase() != ServerReport.Phase.SERVING) {
      changes.put(server, change);
      sendFirstOrder(server, change, nowNanos);
      return Optional.empty();
    }
    ModelId model = report.assignment().orElseThrow().model();
    if (availableCount(model, nowNanos) - 1 < minAvailable(model)) {
      return Optional.of("too few servers would serve " + model);
    }
    changes.put(server, change);
    decisions.add(new OrderDecision.DrainServer(server, fencingNumber, DRAIN_HOLD_NANOS));
    return Optional.empty();
  }

  private void advanceChange(BackendServerId server, ServerChange change, long nowNanos) {
    Optional<ServerReport> report = serverReports.currentReport(server, nowNanos, target.limits());
    if (report.filter(found -> found.isServing(change.assignment())).isPresent()) {
      endChange(server);
      return;
    }
    if (change.isOrdered()) {
      advanceLoad(server, change, report, nowNanos);
    } else {
      advanceDrain(server, change, report, nowNanos);
    }
  }

  private void advanceLoad(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    boolean restarted =
        report.filter(found -> !found.incarnation().equals(change.incarnation())).isPresent();
    if (restarted) {
      endChange(server);
      recordFailure(server, "restarted while it loaded");
      return;
    }
    if (nowNanos - change.stageStartNanos() >= target.limits().loadTimeoutNanos()) {
      endChange(server);
      recordFailure(server, "did not report the model in time");
      return;
    }
    boolean loads = report.filter(found -> found.phase() == ServerReport.Phase.LOADING).isPresent();
    if (!loads) {
      repeatOrder(server, change, report, nowNanos);
    }
  }

  /** The order may be lost: the server stays drained and is ordered again. */
  private void repeatOrder(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    repeatDrain(server, change, nowNanos);
    boolean idle = report.filter(found -> found.runningCount() == 0).isPresent();
    boolean due = nowNanos - change.orderSentNanos() >= target.limits().maxReportAgeNanos();
    if (idle && due && !isStopped()) {
      change.recordOrderRepeated(nowNanos);
      addSendOrder(server, change);
    }
  }

  private void repeatDrain(BackendServerId server, ServerChange change, long nowNanos) {
    if (nowNanos - change.drainSentNanos() >= DRAIN_REPEAT_NANOS) {
      change.recordDrainRepeated(nowNanos);
      decisions.add(new OrderDecision.DrainServer(server, fencingNumber, DRAIN_HOLD_NANOS));
    }
  }

  private void advanceDrain(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    if (mustEndDrain(server, change, report, nowNanos)) {
      endChange(server);
      return;
    }
    repeatDrain(server, change, nowNanos);
    boolean told =
        report.isPresent()
            && serverReports.receivedNanos(server) - change.stageStartNanos()
                >= target.limits().drainSettleNanos();
    if (told && report.get().runningCount() == 0) {
      sendFirstOrder(server, change, nowNanos);
    }
  }

  /** A drain ends when its reason is gone or when its server is needed to keep the floor. */
  private boolean mustEndDrain(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    boolean unwanted = !change.assignment().equals(target.assignments().get(server));
    boolean other =
        report.isPresent()
            && (!report.get().incarnation().equals(change.incarnation())
                || report.get().phase() != ServerReport.Phase.SERVING);
    if (unwanted || other || isStopped() || report.isEmpty()) {
      return true;
    }
    ModelId model = report.get().assignment().orElseThrow().model();
    return availableCount(model, nowNanos) < minAvailable(model);
  }

  private boolean isStopped() {
    return failures >= target.limits().maxFailures();
  }

  private void sendFirstOrder(BackendServerId server, ServerChange change, long nowNanos) {
    change.recordOrderSent(nowNanos);
    addSendOrder(server, change);
  }

  private void addSendOrder(BackendServerId server, ServerChange change) {
    decisions.add(
        new OrderDecision.SendOrder(new ServerOrder(server, change.assignment(), fencingNumber)));
  }

  private void endChange(BackendServerId server) {
    changes.remove(server);
    decisions.add(new OrderDecision.ResumeServer(server, fencingNumber));
  }

  private void cancelDrains() {
    for (BackendServerId server : List.copyOf(changes.keySet())) {
      if (!changes.get(server).isOrdered()) {
        endChange(server);
      }
    }
  }

  private void recordFailure(BackendServerId server, String reason) {
    failures++;
    lastFailure = server + " " + reason;
  }

  private int availableCount(ModelId model, long nowNanos) {
    return serverReports.availableCount(model, changes.keySet(), nowNanos, target.limits());
  }

  private int minAvailable(ModelId model) {
    long servers =
        target.assignments().values().stream()
            .filter(assignment -> assignment.model().equals(model))
            .count();
    return target.limits().minAvailable((int) servers);
  }

  private RolloutState stateOf(RolloutState.Phase phase, String reason, long nowNanos) {
    RolloutLimits limits = target.limits();
    long done =
        target.assignments().entrySet().stream()
            .filter(
                entry ->
                    serverReports
                        .currentReport(entry.getKey(), nowNanos, limits)
                        .filter(report -> report.isServing(entry.getValue()))
                        .isPresent())
            .count();
    int ordered = (int) changes.values().stream().filter(ServerChange::isOrdered).count();
    int loading = ordered + serverReports.otherLoadingCount(changes.keySet(), nowNanos, limits);
    return new RolloutState(
        phase,
        reason,
        target.assignments().size(),
        (int) done,
        loading,
        changes.size() - ordered,
        failures);
  }
}

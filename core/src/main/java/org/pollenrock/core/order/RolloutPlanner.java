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
 * Plans the drains and orders that bring servers from their reported to their target assignment.
 *
 * <p>A serving server is drained before it is ordered to load. {@link RolloutLimits} limits how
 * many servers drain or load at the same time, and a server is taken out of service only while
 * enough other servers serve its model. Too many failed loads stop the rollout until the target
 * changes. Reports show all progress except the start of a drain, so a new lease holder needs only
 * reports to continue a rollout.
 */
public final class RolloutPlanner {
  /** Time until a drain message expires at the routers unless it is repeated. */
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
   * Records that the lease was acquired or renewed. A renewal only raises the fencing number.
   *
   * @param newFencingNumber fencing number for the following decisions
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> recordLeaseAcquired(FencingNumber newFencingNumber, long nowNanos) {
    if (fencingNumber == null) {
      leaseStartNanos = nowNanos;
    }
    fencingNumber = newFencingNumber;
    return plan(nowNanos);
  }

  /**
   * Records that the lease was lost and discards all changes in progress. Their drains expire at
   * the routers.
   *
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> recordLeaseLost(long nowNanos) {
    fencingNumber = null;
    changes.clear();
    return plan(nowNanos);
  }

  /**
   * Sets the target. Assignments or limits that differ from those of the previous target reset the
   * failure count, so that a stopped rollout continues.
   *
   * @param newTarget the target
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> setTarget(RolloutTarget newTarget, long nowNanos) {
    boolean sameTarget =
        target != null
            && target.assignments().equals(newTarget.assignments())
            && target.limits().equals(newTarget.limits());
    target = newTarget;
    if (!sameTarget) {
      failures = 0;
      lastFailure = "";
    }
    return plan(nowNanos);
  }

  /**
   * Records the report of a server. A report that is older than the stored one is ignored.
   *
   * @param report the report
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> recordReport(ServerReport report, long nowNanos) {
    Optional<ServerReport> previous = serverReports.recordReport(report, nowNanos);
    boolean failureAlreadyCounted =
        previous
            .filter(earlier -> earlier.phase() == ServerReport.Phase.LOAD_FAILED)
            .filter(earlier -> earlier.incarnation().equals(report.incarnation()))
            .filter(earlier -> earlier.assignment().equals(report.assignment()))
            .isPresent();
    if (target != null
        && !failureAlreadyCounted
        && report.phase() == ServerReport.Phase.LOAD_FAILED) {
      Assignment targetAssignment = target.assignments().get(report.server());
      if (targetAssignment != null && report.hasFailedToLoad(targetAssignment)) {
        changes.remove(report.server());
        recordFailure(report.server(), "failed to load");
      }
    }
    return plan(nowNanos);
  }

  /**
   * Records that a server refused an order because it has seen a larger fencing number: another
   * router holds the lease.
   *
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> recordOrderRefusal(long nowNanos) {
    return recordLeaseLost(nowNanos);
  }

  /**
   * Advances the rollout to the current time.
   *
   * @param nowNanos current time
   * @return actions to perform, in order
   */
  public List<OrderDecision> tick(long nowNanos) {
    return plan(nowNanos);
  }

  /**
   * Returns the progress as of the last input.
   *
   * @return the state of the rollout
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
    boolean stateChanged = next.phase() != state.phase() || !next.reason().equals(state.reason());
    state = next;
    if (stateChanged) {
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

  /**
   * Starts changes while fewer than the maximum number of servers load or drain.
   *
   * @return why the last server that could not be changed has to wait; empty if there is none
   */
  private String startChanges(long nowNanos) {
    RolloutLimits limits = target.limits();
    String blocked = "";
    for (ServerReport report : candidates(nowNanos)) {
      int changingCount =
          changes.size() + serverReports.otherLoadingCount(changes.keySet(), nowNanos, limits);
      if (changingCount >= limits.maxConcurrentLoads()) {
        return blocked;
      }
      blocked = startChange(report, nowNanos).orElse(blocked);
    }
    return blocked;
  }

  /** Returns reports of servers that can be changed now; servers that do not serve come first. */
  private List<ServerReport> candidates(long nowNanos) {
    List<ServerReport> candidates = new ArrayList<>();
    target
        .assignmentsInServerOrder()
        .forEach(
            (server, targetAssignment) ->
                serverReports
                    .currentReport(server, nowNanos, target.limits())
                    .filter(report -> !changes.containsKey(server))
                    .filter(report -> !report.isServing(targetAssignment))
                    .filter(RolloutPlanner::isChangeable)
                    .ifPresent(candidates::add));
    candidates.sort(Comparator.comparing(report -> report.phase() == ServerReport.Phase.SERVING));
    return candidates;
  }

  private static boolean isChangeable(ServerReport report) {
    return report.phase() != ServerReport.Phase.LEAVING
        && report.phase() != ServerReport.Phase.LOADING;
  }

  /** Starts the change of a server, or returns why the server cannot be taken out of service. */
  private Optional<String> startChange(ServerReport report, long nowNanos) {
    BackendServerId server = report.server();
    Assignment targetAssignment = target.assignments().get(server);
    ServerChange change = new ServerChange(targetAssignment, report.incarnation(), nowNanos);
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
    if (report.filter(current -> current.isServing(change.assignment())).isPresent()) {
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
        report.filter(current -> !current.incarnation().equals(change.incarnation())).isPresent();
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
    boolean loading =
        report.filter(current -> current.phase() == ServerReport.Phase.LOADING).isPresent();
    if (!loading) {
      repeatOrder(server, change, report, nowNanos);
    }
  }

  /** Keeps the server drained and repeats the order, which may have been lost. */
  private void repeatOrder(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    repeatDrain(server, change, nowNanos);
    boolean idle = report.filter(current -> current.runningCount() == 0).isPresent();
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
    boolean drainSettled =
        report.isPresent()
            && serverReports.receivedNanos(server) - change.stageStartNanos()
                >= target.limits().drainSettleNanos();
    if (drainSettled && report.get().runningCount() == 0) {
      sendFirstOrder(server, change, nowNanos);
    }
  }

  /**
   * Returns whether a drain must end without a load: the target or the server changed, the rollout
   * stopped, reports are missing, or too few servers would keep serving the model.
   */
  private boolean mustEndDrain(
      BackendServerId server, ServerChange change, Optional<ServerReport> report, long nowNanos) {
    boolean targetChanged = !change.assignment().equals(target.assignments().get(server));
    boolean serverChanged =
        report.isPresent()
            && (!report.get().incarnation().equals(change.incarnation())
                || report.get().phase() != ServerReport.Phase.SERVING);
    if (targetChanged || serverChanged || isStopped() || report.isEmpty()) {
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

package org.pollenrock.core.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/** Tests decisions of the planner for single sequences of reports and lease changes. */
class RolloutPlannerTest {
  private static final long SECOND = 1_000_000_000L;
  private static final Assignment OLD = RolloutSimulation.assignment("v1");
  private static final Assignment NEW = RolloutSimulation.assignment("v2");
  private static final RolloutLimits LIMITS =
      new RolloutLimits(2, 0.5, 2, 20 * SECOND, 4 * SECOND, 2 * SECOND, 3 * SECOND);

  private final RolloutPlanner planner = new RolloutPlanner();
  private final List<OrderDecision> decisions = new ArrayList<>();
  private long nowNanos;

  private static BackendServerId server(int number) {
    return new BackendServerId("server-" + number);
  }

  private void setTarget(RolloutLimits limits, int servers) {
    Map<BackendServerId, Assignment> assignments = new TreeMap<>();
    for (int i = 0; i < servers; i++) {
      assignments.put(server(i), NEW);
    }
    decisions.addAll(planner.setTarget(new RolloutTarget(1, assignments, limits), nowNanos));
  }

  private void receiveReport(
      int number, ServerReport.Phase phase, Assignment assignment, int runningCount) {
    ServerReport report =
        new ServerReport(
            server(number),
            new Incarnation(1),
            nowNanos,
            phase,
            Optional.ofNullable(assignment),
            runningCount);
    decisions.addAll(planner.recordReport(report, nowNanos));
  }

  private void receiveOldVersionReports(int servers) {
    for (int i = 0; i < servers; i++) {
      receiveReport(i, ServerReport.Phase.SERVING, OLD, 0);
    }
  }

  private void acquireLease(long fencingNumber) {
    decisions.addAll(planner.recordLeaseAcquired(new FencingNumber(fencingNumber), nowNanos));
  }

  private void advanceTime(long nanos) {
    nowNanos += nanos;
    decisions.addAll(planner.tick(nowNanos));
  }

  private List<BackendServerId> orderedServers() {
    return decisions.stream()
        .filter(OrderDecision.SendOrder.class::isInstance)
        .map(decision -> ((OrderDecision.SendOrder) decision).order().server())
        .toList();
  }

  private List<BackendServerId> drainedServers() {
    return decisions.stream()
        .filter(OrderDecision.DrainServer.class::isInstance)
        .map(decision -> ((OrderDecision.DrainServer) decision).server())
        .distinct()
        .toList();
  }

  /** Sets the target, ends the settle time of a new lease and reports all servers at version v1. */
  private void startWithSettledLease(RolloutLimits limits, int servers) {
    setTarget(limits, servers);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveOldVersionReports(servers);
  }

  /**
   * Guards against changes that add to those of the previous lease holder, and against changes
   * without a lease.
   */
  @Test
  void noServerIsChangedWithoutALeaseOrDuringTheSettleTime() {
    setTarget(LIMITS, 4);
    receiveOldVersionReports(4);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.IDLE);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos() - 1);
    receiveOldVersionReports(4);
    assertThat(drainedServers()).isEmpty();
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.SETTLING);
    advanceTime(1);
    assertThat(drainedServers()).containsExactly(server(0), server(1));
  }

  /**
   * Guards against a load that interrupts requests in flight because the report without running
   * requests was made before all routers had received the drain.
   */
  @Test
  void serverIsOrderedOnlyAfterItReportsThatItIsDrained() {
    startWithSettledLease(LIMITS, 4);
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(orderedServers()).as("orders for a report made before the drain settled").isEmpty();
    advanceTime(LIMITS.drainSettleNanos());
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 1);
    receiveReport(1, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(orderedServers()).containsExactly(server(1));
  }

  /** Guards against a rollout that leaves a model without enough serving servers. */
  @Test
  void minAvailableShareBlocksTheRollout() {
    startWithSettledLease(
        new RolloutLimits(2, 1, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 2);
    assertThat(drainedServers()).isEmpty();
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.BLOCKED);
    assertThat(planner.state().reason()).contains("model");
  }

  /** Guards against a new lease holder that ignores loads ordered by the previous holder. */
  @Test
  void newHolderContinuesFromReportsAlone() {
    setTarget(new RolloutLimits(2, 0, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 4);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveReport(0, ServerReport.Phase.SERVING, NEW, 0);
    receiveReport(1, ServerReport.Phase.LOADING, NEW, 0);
    receiveReport(2, ServerReport.Phase.LOADING, NEW, 0);
    receiveReport(3, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(drainedServers()).as("servers drained while two others load").isEmpty();
    assertThat(planner.state().done()).isEqualTo(1);
    receiveReport(1, ServerReport.Phase.SERVING, NEW, 0);
    assertThat(drainedServers()).containsExactly(server(3));
  }

  /** Guards against a rollout that continues although every load fails. */
  @Test
  void rolloutStopsAfterTooManyFailuresUntilTheTargetChanges() {
    setTarget(LIMITS, 3);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveReport(0, ServerReport.Phase.EMPTY, null, 0);
    for (int i = 0; i < 2; i++) {
      receiveReport(0, ServerReport.Phase.LOADING, NEW, 0);
      receiveReport(0, ServerReport.Phase.LOAD_FAILED, NEW, 0);
      receiveReport(0, ServerReport.Phase.LOAD_FAILED, NEW, 1);
    }
    assertThat(planner.state().failures()).isEqualTo(2);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.STOPPED);
    assertThat(planner.state().reason()).contains("server-0 failed to load");
    int orderCount = orderedServers().size();
    advanceTime(SECOND);
    receiveReport(1, ServerReport.Phase.EMPTY, null, 0);
    assertThat(orderedServers()).hasSize(orderCount);
    setTarget(LIMITS, 2);
    assertThat(orderedServers()).hasSize(orderCount + 2);
  }

  /** Guards against a delayed report that replaces a later one. */
  @Test
  void reportOlderThanTheStoredOneIsIgnored() {
    setTarget(LIMITS, 1);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos() + 1);
    receiveReport(0, ServerReport.Phase.SERVING, NEW, 0);
    nowNanos--;
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.DONE);
  }

  /** Guards against a server that keeps the old version after a delayed order of another holder. */
  @Test
  void serverThatDivergesFromTheTargetIsChangedAgain() {
    setTarget(LIMITS, 2);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveReport(0, ServerReport.Phase.SERVING, NEW, 0);
    receiveReport(1, ServerReport.Phase.SERVING, NEW, 0);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.DONE);
    receiveReport(1, ServerReport.Phase.SERVING, OLD, 3);
    assertThat(drainedServers()).containsExactly(server(1));
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.RUNNING);
  }

  /** Guards against waiting forever after a lost order or for a load that never ends. */
  @Test
  void lostOrderIsRepeatedAndALoadThatNeverEndsFails() {
    setTarget(LIMITS, 1);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveReport(0, ServerReport.Phase.EMPTY, null, 0);
    advanceTime(LIMITS.maxReportAgeNanos());
    receiveReport(0, ServerReport.Phase.EMPTY, null, 0);
    assertThat(orderedServers()).containsExactly(server(0), server(0));
    receiveReport(0, ServerReport.Phase.LOADING, NEW, 0);
    advanceTime(LIMITS.loadTimeoutNanos());
    assertThat(planner.state().failures()).isEqualTo(1);
  }

  /** Guards against a router that sends orders after a server has seen a newer lease holder. */
  @Test
  void refusedFencingNumberEndsTheLease() {
    startWithSettledLease(LIMITS, 4);
    decisions.addAll(planner.recordOrderRefusal(nowNanos));
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.IDLE);
  }

  /** Guards against limits under which drains of two lease holders overlap. */
  @Test
  void settleTimeMustBeLongerThanADrain() {
    long holdNanos = RolloutPlanner.DRAIN_HOLD_NANOS;
    assertThatThrownBy(() -> new RolloutLimits(2, 0.5, 2, SECOND, holdNanos, 0, SECOND))
        .isInstanceOf(IllegalArgumentException.class);
  }
}

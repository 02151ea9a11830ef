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

  private void receiveReport(int number, ServerReport.Phase phase, Assignment serves, int running) {
    ServerReport report =
        new ServerReport(
            server(number),
            new Incarnation(1),
            nowNanos,
            phase,
            Optional.ofNullable(serves),
            running);
    decisions.addAll(planner.recordReport(report, nowNanos));
  }

  private void receiveOldVersionReports(int servers) {
    for (int i = 0; i < servers; i++) {
      receiveReport(i, ServerReport.Phase.SERVING, OLD, 0);
    }
  }

  private void acquireLease(long fence) {
    decisions.addAll(planner.recordLeaseAcquired(new FencingNumber(fence), nowNanos));
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

  /** Starts with servers at the old version and a lease that has settled. */
  private void startWithSettledLease(RolloutLimits limits, int servers) {
    setTarget(limits, servers);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveOldVersionReports(servers);
  }

  /** Guards against orders next to those of a predecessor, and against orders without a lease. */
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

  /** Guards against a load that interrupts requests in flight. */
  @Test
  void serverIsOrderedOnlyAfterItReportsThatItIsDrained() {
    startWithSettledLease(LIMITS, 4);
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(orderedServers()).as("report from before all routers were told").isEmpty();
    advanceTime(LIMITS.drainSettleNanos());
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 1);
    receiveReport(1, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(orderedServers()).containsExactly(server(1));
  }

  /** Guards against a rollout that empties a model of servers. */
  @Test
  void minAvailableShareBlocksTheRollout() {
    startWithSettledLease(
        new RolloutLimits(2, 1, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 2);
    assertThat(drainedServers()).isEmpty();
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.BLOCKED);
    assertThat(planner.state().reason()).contains("model");
  }

  /** Guards against loads of a predecessor that a new holder does not count. */
  @Test
  void newHolderContinuesFromReportsAlone() {
    setTarget(new RolloutLimits(2, 0, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 4);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos());
    receiveReport(0, ServerReport.Phase.SERVING, NEW, 0);
    receiveReport(1, ServerReport.Phase.LOADING, NEW, 0);
    receiveReport(2, ServerReport.Phase.LOADING, NEW, 0);
    receiveReport(3, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(drainedServers()).as("two servers load already").isEmpty();
    assertThat(planner.state().done()).isEqualTo(1);
    receiveReport(1, ServerReport.Phase.SERVING, NEW, 0);
    assertThat(drainedServers()).containsExactly(server(3));
  }

  /** Guards against a rollout that goes on while every load fails. */
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
    int before = orderedServers().size();
    advanceTime(SECOND);
    receiveReport(1, ServerReport.Phase.EMPTY, null, 0);
    assertThat(orderedServers()).hasSize(before);
    setTarget(LIMITS, 2);
    assertThat(orderedServers()).hasSize(before + 2);
  }

  /** Guards against a late report that hides a newer one. */
  @Test
  void reportMadeBeforeAKnownOneIsIgnored() {
    setTarget(LIMITS, 1);
    acquireLease(10);
    advanceTime(LIMITS.settleNanos() + 1);
    receiveReport(0, ServerReport.Phase.SERVING, NEW, 0);
    nowNanos--;
    receiveReport(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.DONE);
  }

  /** Guards against a server that stays wrong after it applied a late order of another holder. */
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

  /** Guards against a lost order that leaves a server drained, and against an endless wait. */
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

  /** Guards against a router that goes on ordering although a server knows a newer holder. */
  @Test
  void refusedFencingNumberEndsTheLease() {
    startWithSettledLease(LIMITS, 4);
    decisions.addAll(planner.recordOrderRefusal(nowNanos));
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.IDLE);
  }

  /** Guards against settings under which drains of two holders overlap. */
  @Test
  void settleTimeMustOutlastADrain() {
    long hold = RolloutPlanner.DRAIN_HOLD_NANOS;
    assertThatThrownBy(() -> new RolloutLimits(2, 0.5, 2, SECOND, hold, 0, SECOND))
        .isInstanceOf(IllegalArgumentException.class);
  }
}

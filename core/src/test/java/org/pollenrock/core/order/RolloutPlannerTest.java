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
  private static final Assignment OLD = RolloutWorld.assignment("v1");
  private static final Assignment NEW = RolloutWorld.assignment("v2");
  private static final RolloutLimits LIMITS =
      new RolloutLimits(2, 0.5, 2, 20 * SECOND, 4 * SECOND, 2 * SECOND, 3 * SECOND);

  private final RolloutPlanner planner = new RolloutPlanner();
  private final List<OrderDecision> decisions = new ArrayList<>();
  private long nowNanos;

  private static BackendServerId server(int number) {
    return new BackendServerId("server-" + number);
  }

  private void target(RolloutLimits limits, int servers) {
    Map<BackendServerId, Assignment> assignments = new TreeMap<>();
    for (int i = 0; i < servers; i++) {
      assignments.put(server(i), NEW);
    }
    decisions.addAll(planner.target(new RolloutTarget(1, assignments, limits), nowNanos));
  }

  private void report(int number, ServerReport.Phase phase, Assignment serves, int running) {
    ServerReport report =
        new ServerReport(
            server(number),
            new Incarnation(1),
            nowNanos,
            phase,
            Optional.ofNullable(serves),
            running);
    decisions.addAll(planner.report(report, nowNanos));
  }

  private void reportOld(int servers) {
    for (int i = 0; i < servers; i++) {
      report(i, ServerReport.Phase.SERVING, OLD, 0);
    }
  }

  private void hold(long fence) {
    decisions.addAll(planner.leaseAcquired(new FencingNumber(fence), nowNanos));
  }

  private void advance(long nanos) {
    nowNanos += nanos;
    decisions.addAll(planner.tick(nowNanos));
  }

  private List<BackendServerId> ordered() {
    return decisions.stream()
        .filter(OrderDecision.SendOrder.class::isInstance)
        .map(decision -> ((OrderDecision.SendOrder) decision).order().server())
        .toList();
  }

  private List<BackendServerId> drained() {
    return decisions.stream()
        .filter(OrderDecision.DrainServer.class::isInstance)
        .map(decision -> ((OrderDecision.DrainServer) decision).server())
        .distinct()
        .toList();
  }

  /** Starts with servers at the old version and a lease that has settled. */
  private void settled(RolloutLimits limits, int servers) {
    target(limits, servers);
    hold(10);
    advance(LIMITS.settleNanos());
    reportOld(servers);
  }

  /** Guards against orders next to those of a predecessor, and against orders without a lease. */
  @Test
  void nothingIsChangedWithoutALeaseOrWhileItSettles() {
    target(LIMITS, 4);
    reportOld(4);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.IDLE);
    hold(10);
    advance(LIMITS.settleNanos() - 1);
    reportOld(4);
    assertThat(drained()).isEmpty();
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.SETTLING);
    advance(1);
    assertThat(drained()).containsExactly(server(0), server(1));
  }

  /** Guards against a load that interrupts requests in flight. */
  @Test
  void serverIsOrderedOnlyAfterItReportsThatItIsDrained() {
    settled(LIMITS, 4);
    report(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(ordered()).as("report from before all routers were told").isEmpty();
    advance(LIMITS.drainSettleNanos());
    report(0, ServerReport.Phase.SERVING, OLD, 1);
    report(1, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(ordered()).containsExactly(server(1));
  }

  /** Guards against a rollout that empties a model of servers. */
  @Test
  void capacityFloorBlocksTheRollout() {
    settled(new RolloutLimits(2, 1, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 2);
    assertThat(drained()).isEmpty();
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.BLOCKED);
    assertThat(planner.state().reason()).contains("model");
  }

  /** Guards against loads of a predecessor that a new holder does not count. */
  @Test
  void newHolderContinuesFromReportsAlone() {
    target(new RolloutLimits(2, 0, 2, 20 * SECOND, 4 * SECOND, SECOND, 3 * SECOND), 4);
    hold(10);
    advance(LIMITS.settleNanos());
    report(0, ServerReport.Phase.SERVING, NEW, 0);
    report(1, ServerReport.Phase.LOADING, NEW, 0);
    report(2, ServerReport.Phase.LOADING, NEW, 0);
    report(3, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(drained()).as("two servers load already").isEmpty();
    assertThat(planner.state().done()).isEqualTo(1);
    report(1, ServerReport.Phase.SERVING, NEW, 0);
    assertThat(drained()).containsExactly(server(3));
  }

  /** Guards against a rollout that goes on while every load fails. */
  @Test
  void rolloutStopsAfterTooManyFailuresUntilTheTargetChanges() {
    target(LIMITS, 3);
    hold(10);
    advance(LIMITS.settleNanos());
    report(0, ServerReport.Phase.EMPTY, null, 0);
    for (int i = 0; i < 2; i++) {
      report(0, ServerReport.Phase.LOADING, NEW, 0);
      report(0, ServerReport.Phase.LOAD_FAILED, NEW, 0);
      report(0, ServerReport.Phase.LOAD_FAILED, NEW, 1);
    }
    assertThat(planner.state().failures()).isEqualTo(2);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.STOPPED);
    assertThat(planner.state().reason()).contains("server-0 failed to load");
    int before = ordered().size();
    advance(SECOND);
    report(1, ServerReport.Phase.EMPTY, null, 0);
    assertThat(ordered()).hasSize(before);
    target(LIMITS, 2);
    assertThat(ordered()).hasSize(before + 2);
  }

  /** Guards against a late report that hides a newer one. */
  @Test
  void reportMadeBeforeAKnownOneIsIgnored() {
    target(LIMITS, 1);
    hold(10);
    advance(LIMITS.settleNanos() + 1);
    report(0, ServerReport.Phase.SERVING, NEW, 0);
    nowNanos--;
    report(0, ServerReport.Phase.SERVING, OLD, 0);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.DONE);
  }

  /** Guards against a server that stays wrong after it applied a late order of another holder. */
  @Test
  void divergenceFromTheTargetIsOrderedAgain() {
    target(LIMITS, 2);
    hold(10);
    advance(LIMITS.settleNanos());
    report(0, ServerReport.Phase.SERVING, NEW, 0);
    report(1, ServerReport.Phase.SERVING, NEW, 0);
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.DONE);
    report(1, ServerReport.Phase.SERVING, OLD, 3);
    assertThat(drained()).containsExactly(server(1));
    assertThat(planner.state().phase()).isEqualTo(RolloutState.Phase.RUNNING);
  }

  /** Guards against a lost order that leaves a server drained, and against an endless wait. */
  @Test
  void lostOrderIsRepeatedAndALoadThatNeverEndsFails() {
    target(LIMITS, 1);
    hold(10);
    advance(LIMITS.settleNanos());
    report(0, ServerReport.Phase.EMPTY, null, 0);
    advance(LIMITS.reportNanos());
    report(0, ServerReport.Phase.EMPTY, null, 0);
    assertThat(ordered()).containsExactly(server(0), server(0));
    report(0, ServerReport.Phase.LOADING, NEW, 0);
    advance(LIMITS.loadTimeoutNanos());
    assertThat(planner.state().failures()).isEqualTo(1);
  }

  /** Guards against a router that goes on ordering although a server knows a newer holder. */
  @Test
  void refusedFencingNumberEndsTheLease() {
    settled(LIMITS, 4);
    decisions.addAll(planner.orderRefused(nowNanos));
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

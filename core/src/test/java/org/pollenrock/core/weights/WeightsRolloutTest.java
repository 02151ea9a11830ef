package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.WeightsRequirement;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;

/**
 * Guards against engines that keep old weights, and against too many engines that load at the same
 * time.
 */
class WeightsRolloutTest {
  private static final long MILLI = 1_000_000L;
  private static final String MODEL = "m";

  /**
   * Engine that takes some time to load weights and may execute an order late, without an answer.
   */
  private static final class FakeEngine {
    private final Backend backend;
    private long weights = 1;
    private long orders;
    private long busyUntil = Long.MIN_VALUE;
    private long loading;
    private final List<DelayedOrder> delayedOrders = new ArrayList<>();

    private FakeEngine(int index) {
      backend =
          new Backend(
              new ListedBackend(
                  "e" + index, 1, "v1", "llm", "10.0.0.1", 80, "dc", 8, true, Map.of(MODEL, 1L)),
              0);
    }

    private void advance(long now) {
      if (busyUntil != Long.MIN_VALUE && now >= busyUntil) {
        weights = loading;
        busyUntil = Long.MIN_VALUE;
      }
      delayedOrders.removeIf(
          order -> {
            if (order.atNanos() > now) {
              return false;
            }
            accept(order.order(), now);
            return true;
          });
    }

    private OrderAnswer accept(LoadOrder order, long now) {
      if (busyUntil != Long.MIN_VALUE || order.expectedOrderCount() != orders) {
        return OrderAnswer.CONFLICT;
      }
      if (weights >= order.version()) {
        return OrderAnswer.HOLDS;
      }
      orders++;
      loading = order.version();
      busyUntil = now + 400 * MILLI;
      return OrderAnswer.ACCEPTED;
    }

    private EngineReport report() {
      return new EngineReport(busyUntil != Long.MIN_VALUE, orders, Map.of(MODEL, weights));
    }
  }

  private record DelayedOrder(LoadOrder order, long atNanos) {}

  @Test
  void noStepIsTakenWithoutFencingNumber() {
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 2, OptionalLong.of(0), 0);
    List<Backend> fleet = List.of(new FakeEngine(0).backend);
    assertThat(WeightsRollout.hasOutdatedEngines(fleet, targets)).isTrue();
    assertThat(new WeightsRollout().nextSteps(fleet, targets, OptionalLong.empty(), 0)).isEmpty();
  }

  @Property(tries = 200, seed = "23")
  void everyEngineIsUpdatedWhileHalfKeepServing(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<Backend, FakeEngine> engines = new HashMap<>();
    int count = random.nextInt(1, 20);
    for (int i = 0; i < count; i++) {
      FakeEngine engine = new FakeEngine(i);
      engines.put(engine.backend, engine);
    }
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 2, OptionalLong.of(0), 0);
    WeightsRollout rollout = new WeightsRollout();
    long now = 0;
    for (;
        now < 60_000 * MILLI && WeightsRollout.hasOutdatedEngines(engines.keySet(), targets);
        now += 20 * MILLI) {
      if (now == 1_000 * MILLI) {
        targets.recordVersion(MODEL, 3, OptionalLong.of(0), now);
      }
      for (FakeEngine engine : engines.values()) {
        engine.advance(now);
      }
      for (RolloutStep step :
          rollout.nextSteps(engines.keySet(), targets, OptionalLong.of(1), now)) {
        execute(rollout, step, engines, random, now);
      }
      long loading = engines.values().stream().filter(e -> e.busyUntil != Long.MIN_VALUE).count();
      if (random.nextInt(50) > 0 && now < 4_000 * MILLI) {
        assertThat(loading)
            .isLessThanOrEqualTo((count + 1) / 2 + countEnginesWithDelayedOrders(engines));
      }
    }
    assertThat(now).isLessThan(60_000 * MILLI);
    assertThat(engines.values()).allMatch(e -> e.backend.weightsVersion(MODEL).getAsLong() >= 2);
  }

  private static long countEnginesWithDelayedOrders(Map<Backend, FakeEngine> engines) {
    return engines.values().stream()
        .filter(e -> !e.delayedOrders.isEmpty() || e.orders > 1)
        .count();
  }

  private static void execute(
      WeightsRollout rollout,
      RolloutStep step,
      Map<Backend, FakeEngine> engines,
      SplittableRandom random,
      long now) {
    switch (step) {
      case RolloutStep.ReadReport(Backend backend) -> {
        if (random.nextInt(10) == 0) {
          rollout.recordReportFailure(backend, now);
        } else {
          rollout.recordReport(backend, engines.get(backend).report(), now);
        }
      }
      case RolloutStep.SendOrder(LoadOrder order) -> {
        FakeEngine engine = engines.get(order.backend());
        if (random.nextInt(5) == 0) {
          engine.delayedOrders.add(new DelayedOrder(order, now + random.nextInt(3_000) * MILLI));
          rollout.recordAnswer(order, OrderAnswer.UNKNOWN, now);
        } else {
          rollout.recordAnswer(order, engine.accept(order, now), now);
        }
      }
    }
  }

  @Test
  void existingVersionIsMandatoryAtOnceAndANewOneLater() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, OptionalLong.empty(), 10);
    assertThat(targets.requirement(MODEL, 10).minAllowed()).hasValue(2);
    targets.recordVersion(MODEL, 3, OptionalLong.of(0), 10);
    assertThat(targets.requirement(MODEL, 4_499 * MILLI).minAllowed()).hasValue(2);
    assertThat(targets.requirement(MODEL, 4_501 * MILLI).minAllowed()).hasValue(3);
    assertThat(targets.recordVersion(MODEL, 2, OptionalLong.of(0), 20)).isFalse();
    assertThat(targets.newestVersion(MODEL)).hasValue(3);
  }

  /** An instance that reads a version late must not allow older weights for longer. */
  @Test
  void versionThatIsReadLateIsMandatoryFromItsPublicationOn() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, OptionalLong.of(3_300 * MILLI), 3_300 * MILLI);
    assertThat(targets.requirement(MODEL, 4_499 * MILLI).minAllowed()).isEmpty();
    assertThat(targets.requirement(MODEL, 4_501 * MILLI).minAllowed()).hasValue(2);
    targets.recordVersion(MODEL, 3, OptionalLong.of(7_000 * MILLI), 12_000 * MILLI);
    assertThat(targets.requirement(MODEL, 12_000 * MILLI).minAllowed()).hasValue(3);
  }

  /** A suspension, during which the clock stands still, must not postpone a version. */
  @Test
  void suspensionCountsTowardsTheAgeOfAVersion() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, OptionalLong.of(0), 0);
    targets.recordSuspension(3_000 * MILLI);
    assertThat(targets.requirement(MODEL, 1_499 * MILLI).minAllowed()).isEmpty();
    assertThat(targets.requirement(MODEL, 1_501 * MILLI).minAllowed()).hasValue(2);
  }

  /** A newer version must not postpone the time at which an earlier version becomes mandatory. */
  @Test
  void eachVersionIsMandatoryFromItsOwnPublicationOn() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, OptionalLong.of(0), 0);
    targets.recordVersion(MODEL, 3, OptionalLong.of(0), 2_400 * MILLI);
    targets.recordVersion(MODEL, 4, OptionalLong.of(0), 4_800 * MILLI);
    assertThat(targets.requirement(MODEL, 4_600 * MILLI).minAllowed()).hasValue(2);
    assertThat(targets.requirement(MODEL, 7_000 * MILLI).minAllowed()).hasValue(3);
    assertThat(targets.requirement(MODEL, 9_400 * MILLI).minAllowed()).hasValue(4);
    assertThat(targets.requirement(MODEL, 9_400 * MILLI).newest()).hasValue(4);
  }

  /**
   * While the log is unavailable nobody can send orders, so engines with old weights must keep
   * serving.
   */
  @Test
  void noVersionIsMandatoryWhileTheLogIsUnavailable() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, OptionalLong.of(0), 0);
    targets.markLogUnavailable();
    assertThat(targets.requirement(MODEL, 9_000 * MILLI))
        .isEqualTo(WeightsRequirement.unrestricted(OptionalLong.of(2)));
    targets.markLogAvailable(9_000 * MILLI);
    assertThat(targets.requirement(MODEL, 13_000 * MILLI).minAllowed()).isEmpty();
    assertThat(targets.requirement(MODEL, 13_000 * MILLI).minRegular()).hasValue(2);
    assertThat(targets.requirement(MODEL, 13_501 * MILLI).minAllowed()).hasValue(2);
  }

  /**
   * Versions in quick succession must not prevent the engines with the oldest weights from
   * updating.
   */
  @Test
  void enginesWithTheOldestWeightsGoFirst() {
    FakeEngine behind = new FakeEngine(0);
    FakeEngine ahead = new FakeEngine(1);
    ahead.backend.recordWeightsVersion(MODEL, 2);
    behind.backend.recordRequestStart(0, 0);
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 3, OptionalLong.of(0), 0);
    assertThat(
            new WeightsRollout()
                .nextSteps(List.of(ahead.backend, behind.backend), targets, OptionalLong.of(1), 0))
        .containsExactly(new RolloutStep.ReadReport(behind.backend));
  }
}

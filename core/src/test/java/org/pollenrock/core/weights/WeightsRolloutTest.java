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

/** Guards against engines that keep old weights and against a fleet that loads all at once. */
class WeightsRolloutTest {
  private static final long MILLI = 1_000_000L;
  private static final String MODEL = "m";

  /** Engine that loads for a while, loses answers, and carries out orders late. */
  private static final class Engine {
    private final Backend backend;
    private long weights = 1;
    private long orders;
    private long busyUntil = Long.MIN_VALUE;
    private long loading;
    private final List<Late> late = new ArrayList<>();

    private Engine(int index) {
      backend =
          new Backend(
              new ListedBackend(
                  "e" + index, 1, "llm", "10.0.0.1", 80, "dc", 8, true, Map.of(MODEL, 1L)),
              0);
    }

    private void tick(long now) {
      if (busyUntil != Long.MIN_VALUE && now >= busyUntil) {
        weights = loading;
        busyUntil = Long.MIN_VALUE;
      }
      late.removeIf(
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

  private record Late(LoadOrder order, long atNanos) {}

  @Test
  void nothingIsDoneWithoutTheRight() {
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 2, true, 0);
    List<Backend> fleet = List.of(new Engine(0).backend);
    assertThat(WeightsRollout.hasOutdatedEngines(fleet, targets)).isTrue();
    assertThat(new WeightsRollout().nextSteps(fleet, targets, OptionalLong.empty(), 0)).isEmpty();
  }

  @Property(tries = 200, seed = "23")
  void everyEngineGetsTheNewestWeightsAndHalfServesOn(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<Backend, Engine> engines = new HashMap<>();
    int count = random.nextInt(1, 20);
    for (int i = 0; i < count; i++) {
      Engine engine = new Engine(i);
      engines.put(engine.backend, engine);
    }
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 2, true, 0);
    WeightsRollout rollout = new WeightsRollout();
    long now = 0;
    for (;
        now < 60_000 * MILLI && WeightsRollout.hasOutdatedEngines(engines.keySet(), targets);
        now += 20 * MILLI) {
      if (now == 1_000 * MILLI) {
        targets.recordVersion(MODEL, 3, true, now);
      }
      for (Engine engine : engines.values()) {
        engine.tick(now);
      }
      for (RolloutStep step :
          rollout.nextSteps(engines.keySet(), targets, OptionalLong.of(1), now)) {
        follow(rollout, step, engines, random, now);
      }
      long loading = engines.values().stream().filter(e -> e.busyUntil != Long.MIN_VALUE).count();
      if (random.nextInt(50) > 0 && now < 4_000 * MILLI) {
        assertThat(loading).isLessThanOrEqualTo((count + 1) / 2 + lateOrders(engines));
      }
    }
    assertThat(now).isLessThan(60_000 * MILLI);
    assertThat(engines.values()).allMatch(e -> e.backend.weightsVersion(MODEL).getAsLong() >= 2);
  }

  private static long lateOrders(Map<Backend, Engine> engines) {
    return engines.values().stream().filter(e -> !e.late.isEmpty() || e.orders > 1).count();
  }

  private static void follow(
      WeightsRollout rollout,
      RolloutStep step,
      Map<Backend, Engine> engines,
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
        Engine engine = engines.get(order.backend());
        if (random.nextInt(5) == 0) {
          engine.late.add(new Late(order, now + random.nextInt(3_000) * MILLI));
          rollout.recordAnswer(order, OrderAnswer.UNKNOWN, now);
        } else {
          rollout.recordAnswer(order, engine.accept(order, now), now);
        }
      }
    }
  }

  @Test
  void foundVersionBindsAtOnceAndASeenOneLater() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, false, 10);
    assertThat(targets.requirement(MODEL, 10).minAllowed()).hasValue(2);
    targets.recordVersion(MODEL, 3, true, 10);
    assertThat(targets.requirement(MODEL, 4_499 * MILLI).minAllowed()).hasValue(2);
    assertThat(targets.requirement(MODEL, 4_501 * MILLI).minAllowed()).hasValue(3);
    assertThat(targets.recordVersion(MODEL, 2, true, 20)).isFalse();
    assertThat(targets.newestVersion(MODEL)).hasValue(3);
  }

  /** A later version must not put off the time at which an earlier one binds. */
  @Test
  void eachVersionBindsFromItsOwnNaming() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, true, 0);
    targets.recordVersion(MODEL, 3, true, 2_400 * MILLI);
    targets.recordVersion(MODEL, 4, true, 4_800 * MILLI);
    assertThat(targets.requirement(MODEL, 4_600 * MILLI).minAllowed()).hasValue(2);
    assertThat(targets.requirement(MODEL, 7_000 * MILLI).minAllowed()).hasValue(3);
    assertThat(targets.requirement(MODEL, 9_400 * MILLI).minAllowed()).hasValue(4);
    assertThat(targets.requirement(MODEL, 9_400 * MILLI).newest()).hasValue(4);
  }

  /** While the log is away nobody can give orders, and engines with old weights must serve on. */
  @Test
  void nothingBindsWhileTheLogIsAway() {
    WeightsTargets targets = new WeightsTargets(4_500 * MILLI);
    targets.recordVersion(MODEL, 2, true, 0);
    targets.markLogUnavailable();
    assertThat(targets.requirement(MODEL, 9_000 * MILLI))
        .isEqualTo(WeightsRequirement.unrestricted(OptionalLong.of(2)));
    targets.markLogAvailable(9_000 * MILLI);
    assertThat(targets.requirement(MODEL, 13_000 * MILLI).minAllowed()).isEmpty();
    assertThat(targets.requirement(MODEL, 13_000 * MILLI).minRegular()).hasValue(2);
    assertThat(targets.requirement(MODEL, 13_501 * MILLI).minAllowed()).hasValue(2);
  }

  /** Versions in quick succession must not starve the engines that are furthest behind. */
  @Test
  void enginesWithTheOldestWeightsGoFirst() {
    Engine behind = new Engine(0);
    Engine ahead = new Engine(1);
    ahead.backend.recordWeightsVersion(MODEL, 2);
    behind.backend.recordRequestStart(0, 0);
    WeightsTargets targets = new WeightsTargets(0);
    targets.recordVersion(MODEL, 3, true, 0);
    assertThat(
            new WeightsRollout()
                .nextSteps(List.of(ahead.backend, behind.backend), targets, OptionalLong.of(1), 0))
        .containsExactly(new RolloutStep.ReadReport(behind.backend));
  }
}

package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.fleet.LoadReport;

/**
 * Guards against a rollout that takes engines away from waiting requests, loads versions that are
 * already replaced, or surprises the instances that send requests.
 */
class RolloutUnderLoadTest {
  private static final long MILLI = 1_000_000L;
  private static final String MODEL = "m";
  private static final int ENGINES = 60;
  private static final int SLOTS = 24;
  private static final long SWEEP_MILLIS = 50;
  private static final long LOAD_MILLIS = 1_000;

  /** Number of concurrent loads beyond which each takes longer. */
  private static final int UNSLOWED_LOADS = 18;

  private static final class FakeEngine {
    private long version = 1;
    private long loadingVersion;
    private double loadMillisLeft;
    private long orders;

    private boolean loads() {
      return loadingVersion > 0;
    }
  }

  private final Map<Backend, FakeEngine> engines = new HashMap<>();
  private final WeightsTargets targets = new WeightsTargets(13_500 * MILLI);
  private final WeightsRollout rollout = new WeightsRollout();
  private final List<Long> orderedVersions = new ArrayList<>();
  private final Map<Backend, Long> pausedUntilMillis = new HashMap<>();
  private int maxAway;
  private int surprisedEngines;

  private void addEngines(int count) {
    for (int i = 0; i < count; i++) {
      ListedBackend entry =
          new ListedBackend(
              "e" + i, 1, "v1", "llm", "10.0.0.1", 80, "dc", SLOTS, true, Map.of(MODEL, 1L));
      engines.put(new Backend(entry, 0), new FakeEngine());
    }
  }

  private void publish(long version, long millis) {
    targets.recordVersion(MODEL, version, OptionalLong.of(0), millis * MILLI);
  }

  /** Advances the engines and the rollout by one sweep; each engine has a number of requests. */
  private void sweep(long millis, int requests) {
    long now = millis * MILLI;
    double speed = Math.min(1.0, (double) UNSLOWED_LOADS / Math.max(1, loadingEngines()));
    engines.forEach(
        (backend, engine) -> {
          engine.loadMillisLeft -= SWEEP_MILLIS * speed;
          if (engine.loads() && engine.loadMillisLeft <= 0) {
            engine.version = engine.loadingVersion;
            engine.loadingVersion = 0;
          }
          backend.recordLoad(new LoadReport(requests, 0, SLOTS), now);
        });
    List<RolloutStep> steps = rollout.nextSteps(engines.keySet(), targets, OptionalLong.of(1), now);
    for (RolloutNews.Loading engine : rollout.takeNews(250 * MILLI, now).loading()) {
      pausedUntilMillis.put(engine.backend(), millis + engine.remainingNanos() / MILLI);
    }
    steps.forEach(step -> execute(step, millis));
    maxAway = Math.max(maxAway, loadingEngines());
    surprisedEngines +=
        (int)
            engines.entrySet().stream()
                .filter(entry -> entry.getValue().loads())
                .filter(entry -> pausedUntilMillis.getOrDefault(entry.getKey(), 0L) <= millis)
                .count();
  }

  private void execute(RolloutStep step, long millis) {
    long now = millis * MILLI;
    switch (step) {
      case RolloutStep.ReadReport(Backend backend) -> {
        FakeEngine engine = engines.get(backend);
        rollout.recordReport(
            backend,
            new EngineReport(engine.loads(), engine.orders, Map.of(MODEL, engine.version)),
            now);
      }
      case RolloutStep.SendOrder(LoadOrder order) -> {
        assertThat(order.version()).isEqualTo(targets.newestVersion(MODEL).getAsLong());
        FakeEngine engine = engines.get(order.backend());
        engine.orders++;
        engine.loadingVersion = order.version();
        engine.loadMillisLeft = LOAD_MILLIS;
        orderedVersions.add(order.version());
        rollout.recordAnswer(order, OrderAnswer.ACCEPTED, now);
      }
    }
  }

  private int loadingEngines() {
    return (int) engines.values().stream().filter(FakeEngine::loads).count();
  }

  private boolean isComplete(long version) {
    return engines.values().stream().allMatch(engine -> engine.version == version);
  }

  /** Four versions named within 13 s during a burst: all slots are in use and requests wait. */
  @Test
  void versionsInQuickSuccessionLeaveTheEnginesToTheBurst() {
    addEngines(ENGINES);
    rollout.setWaitingServices(List.of("llm"));
    Map<Long, Long> published = Map.of(2_000L, 2L, 5_000L, 3L, 9_000L, 4L, 13_000L, 5L);
    for (long millis = 0; millis < 26_500; millis += SWEEP_MILLIS) {
      if (published.containsKey(millis)) {
        publish(published.get(millis), millis);
      }
      sweep(millis, SLOTS);
      OptionalLong minAllowed = targets.requirement(MODEL, millis * MILLI).minAllowed();
      assertThat(engines.values()).allMatch(engine -> engine.version >= minAllowed.orElse(0));
    }
    assertThat(isComplete(5)).isTrue();
    assertThat(maxAway).isLessThanOrEqualTo(ENGINES / 4);
    // Each engine misses one of the four versions or more.
    assertThat(orderedVersions).hasSizeLessThanOrEqualTo(3 * ENGINES);
    assertThat(surprisedEngines).isZero();
  }

  /** A small deployment without load must not wait for the deadline. */
  @Test
  void idleEnginesAreUpdatedAtOnce() {
    addEngines(8);
    publish(2, 0);
    long millis = 0;
    while (!isComplete(2)) {
      sweep(millis, 0);
      millis += SWEEP_MILLIS;
    }
    // Two rounds of loads, and the reports that show their ends.
    assertThat(millis).isLessThanOrEqualTo(2 * LOAD_MILLIS + 500);
  }

  /** Engines that load slower the more load: the number that load settles where they don't. */
  @Test
  void slowedLoadsAreNotMadeMore() {
    addEngines(ENGINES);
    for (int version = 2; version < 8; version++) {
      long start = version * 20_000L;
      publish(version, start);
      maxAway = 0;
      for (long millis = start; millis < start + 9_000; millis += SWEEP_MILLIS) {
        sweep(millis, 0);
      }
      assertThat(isComplete(version)).isTrue();
    }
    // Loads that take up to a quarter longer don't count as slowed.
    assertThat(maxAway).isLessThanOrEqualTo(UNSLOWED_LOADS * 5 / 4);
  }

  /** An order named for a version that is replaced while its engine is emptied. */
  @Test
  void engineThatIsBeingEmptiedGoesStraightToTheNewestVersion() {
    addEngines(1);
    publish(2, 0);
    sweep(0, SLOTS);
    sweep(50, SLOTS);
    assertThat(orderedVersions).isEmpty();
    publish(3, 60);
    for (long millis = 100; !isComplete(3); millis += SWEEP_MILLIS) {
      sweep(millis, SLOTS);
    }
    assertThat(orderedVersions).containsExactly(3L);
  }

  /** An engine refuses the requests that it has not begun when it receives an order. */
  @Test
  void engineIsAnnouncedBeforeItsOrderUntilItHasBegunItsRequests() {
    addEngines(1);
    Backend backend = engines.keySet().iterator().next();
    backend.recordRequestStart(5_000, 0);
    publish(2, 0);
    long millis = 0;
    for (; millis < 200; millis += SWEEP_MILLIS) {
      sweep(millis, 1);
    }
    assertThat(orderedVersions).isEmpty();
    assertThat(pausedUntilMillis).containsKey(backend);
    backend.recordResponseStart(5_000);
    sweep(millis, 1);
    assertThat(orderedVersions).hasSize(1);
  }

  /** Announcements may be lost, so one that an engine has loaded is repeated a few times. */
  @Test
  void loadedEngineIsAnnouncedRepeatedlyAndNotForever() {
    addEngines(1);
    publish(2, 0);
    long millis = 0;
    for (; !isComplete(2); millis += SWEEP_MILLIS) {
      sweep(millis, 0);
    }
    int announced = 0;
    for (long end = millis + 5_000; millis < end; millis += SWEEP_MILLIS) {
      long now = millis * MILLI;
      engines.keySet().forEach(backend -> backend.recordWeightsVersion(MODEL, 2));
      rollout.nextSteps(engines.keySet(), targets, OptionalLong.empty(), now);
      announced += rollout.takeNews(250 * MILLI, now).loaded().size();
    }
    assertThat(announced).isBetween(2, 4);
    assertThat(rollout.isIdle()).isTrue();
  }

  /** The holder's lease ends between the announcement and the order. */
  @Test
  void engineWithoutOrderIsNotAnnouncedAfterTheLeaseHasEnded() {
    addEngines(1);
    publish(2, 0);
    sweep(0, SLOTS);
    sweep(50, SLOTS);
    assertThat(pausedUntilMillis).hasSize(1);
    rollout.nextSteps(engines.keySet(), targets, OptionalLong.empty(), 100 * MILLI);
    assertThat(rollout.takeNews(250 * MILLI, 2_000 * MILLI).loading()).isEmpty();
  }
}

package org.pollenrock.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.pollenrock.core.record.Schedules;

/**
 * Guards against too many loads at once, too few serving servers, a load that interrupts requests
 * and a rollout that never ends. Random schedules lose, delay and repeat orders, crash servers,
 * make loads fail and move the lease between routers.
 */
class RolloutScheduleTest {
  private static final int TRIES = 2_500;
  private static long loadCount;

  @Property(seed = "7301", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void rolloutRespectsLimitsUnderFaults(@ForAll("schedules") List<Integer> schedule) {
    RolloutSimulation simulation = new RolloutSimulation();
    for (int number : schedule) {
      simulation.step(number);
      assertThat(simulation.violations()).isEmpty();
    }
    simulation.runWithoutFaults();
    assertThat(simulation.violations()).isEmpty();
    loadCount += simulation.loadCount();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(60, 160);
  }

  @AfterContainer
  static void schedulesCauseLoads() {
    assertThat(loadCount).as("loads over all schedules").isGreaterThan(TRIES);
  }
}

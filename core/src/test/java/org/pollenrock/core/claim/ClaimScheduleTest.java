package org.pollenrock.core.claim;

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
 * Guards against a second run of a key, an untrue refusal and a call without an answer under
 * generated schedules of faults.
 */
class ClaimScheduleTest {
  private static final int TRIES = 18_000;
  private static long executions;
  private static long outcomes;

  @Property(seed = "7101", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void twoAndThreeRoutersKeepTheClaimInvariants(@ForAll("schedules") List<Integer> schedule) {
    ClaimSimulation world = new ClaimSimulation(2 + schedule.size() % 2);
    for (int number : schedule) {
      world.step(number);
      assertThat(world.breaches()).isEmpty();
    }
    world.heal();
    assertThat(world.breaches()).isEmpty();
    executions += world.executions();
    outcomes += world.outcomes();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(150, 300);
  }

  @AfterContainer
  static void schedulesReachTheService() {
    assertThat(executions).as("runs over all schedules").isGreaterThan(TRIES / 2);
    assertThat(outcomes).as("outcomes delivered over all schedules").isGreaterThan(TRIES / 4);
  }
}

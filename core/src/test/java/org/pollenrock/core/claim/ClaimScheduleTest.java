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
  private static final int TRIES = 12_000;
  private static long executions;
  private static long outcomes;

  @Property(seed = "7101", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void threeRoutersKeepTheClaimInvariants(@ForAll("schedules") List<Integer> schedule) {
    run(3, schedule);
  }

  @Property(seed = "7102", tries = TRIES / 2, shrinking = ShrinkingMode.BOUNDED)
  void twoRoutersKeepTheClaimInvariantsOverLongSchedules(
      @ForAll("longSchedules") List<Integer> schedule) {
    run(2, schedule);
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(60, 200);
  }

  @Provide
  Arbitrary<List<Integer>> longSchedules() {
    return Schedules.ofLength(200, 300);
  }

  @AfterContainer
  static void schedulesReachTheService() {
    assertThat(executions).as("runs over all schedules").isGreaterThan(TRIES / 2);
    assertThat(outcomes).as("outcomes delivered over all schedules").isGreaterThan(TRIES / 4);
  }

  private static void run(int routers, List<Integer> schedule) {
    ClaimWorld world = new ClaimWorld(routers);
    for (int number : schedule) {
      world.step(number);
      assertThat(world.breaches()).isEmpty();
    }
    world.heal();
    assertThat(world.breaches()).isEmpty();
    executions += world.executions();
    outcomes += world.outcomes();
  }
}

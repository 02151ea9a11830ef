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
 * Guards against running a key twice, refusing a call that ran and leaving a call without a reply,
 * under generated schedules of steps and faults.
 */
class ClaimScheduleTest {
  private static final int TRIES = 18_000;
  private static long executedKeys;
  private static long outcomeReplies;

  @Property(seed = "7101", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void claimInvariantsHoldWithTwoOrThreeRouters(@ForAll("schedules") List<Integer> schedule) {
    ClaimSimulation simulation = new ClaimSimulation(2 + schedule.size() % 2);
    for (int encodedStep : schedule) {
      simulation.step(encodedStep);
      assertThat(simulation.violations()).isEmpty();
    }
    simulation.endFaults();
    assertThat(simulation.violations()).isEmpty();
    executedKeys += simulation.executedKeyCount();
    outcomeReplies += simulation.outcomeReplyCount();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(150, 300);
  }

  @AfterContainer
  static void schedulesExecuteCallsAndDeliverOutcomes() {
    assertThat(executedKeys).as("executed keys over all schedules").isGreaterThan(TRIES / 2);
    assertThat(outcomeReplies).as("outcome replies over all schedules").isGreaterThan(TRIES / 4);
  }
}

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
 * and a rollout that never ends, under lost, late and repeated orders, crashes, failed loads and
 * lease holders that change.
 */
class RolloutScheduleTest {
  private static final int TRIES = 2_500;
  private static long loads;

  @Property(seed = "7301", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void rolloutKeepsItsLimits(@ForAll("schedules") List<Integer> schedule) {
    RolloutWorld world = new RolloutWorld();
    for (int number : schedule) {
      world.step(number);
      assertThat(world.breaches()).isEmpty();
    }
    world.heal();
    assertThat(world.breaches()).isEmpty();
    loads += world.loads();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(60, 160);
  }

  @AfterContainer
  static void schedulesLoadServers() {
    assertThat(loads).as("loads over all schedules").isGreaterThan(TRIES);
  }
}

package org.pollenrock.core.record;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.RandomDistribution;

/**
 * Generators of schedules for property tests. A schedule is a list of numbers, each of which a test
 * decodes into one step.
 */
public final class Schedules {
  private static final int MAX_NUMBER = 1 << 24;

  private Schedules() {}

  /**
   * Returns schedules of the given length range whose numbers are uniformly distributed. The biased
   * default distribution of jqwik prefers small numbers, which would mostly select the first kinds
   * of steps.
   */
  public static Arbitrary<List<Integer>> ofLength(int minimum, int maximum) {
    return Arbitraries.integers()
        .between(0, MAX_NUMBER)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMinSize(minimum)
        .ofMaxSize(maximum);
  }
}

package org.pollenrock.core.record;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.RandomDistribution;

/** Schedules of numbers for the property tests. */
public final class Schedules {
  private static final int MAX_NUMBER = 1 << 24;

  private Schedules() {}

  /** Uniform numbers: the biased default of jqwik would mostly choose the first steps. */
  public static Arbitrary<List<Integer>> ofLength(int minimum, int maximum) {
    return Arbitraries.integers()
        .between(0, MAX_NUMBER)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMinSize(minimum)
        .ofMaxSize(maximum);
  }
}

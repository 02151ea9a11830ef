package org.pollenrock.bench.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a figure that depends on the order of measurements or hides the worst one. */
class DurationsTest {
  @Test
  void takesMedianAndWorstInAnyOrder() {
    Durations times = new Durations(List.of(9_000_000L, 1_000_000L, 2_000_000L));

    assertThat(times.medianMs()).isEqualTo(2.0);
    assertThat(times.worstMs()).isEqualTo(9.0);
  }
}

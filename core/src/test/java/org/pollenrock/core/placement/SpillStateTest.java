package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.pollenrock.core.model.BlockKey;

class SpillStateTest {
  private static final BlockKey PREFIX = new BlockKey(1, 2);
  private static final double MARGIN = 50;

  /** Guards against a spill that starts below the margin, or that ends and restarts near it. */
  @Property(seed = "4501", tries = 200, shrinking = ShrinkingMode.FULL)
  void spillStartsAboveTheMarginAndEndsBelowHalfOfIt(
      @ForAll @Size(max = 60) List<@DoubleRange(min = -20, max = 100) Double> gains) {
    SpillState state = new SpillState(8);
    boolean spilling = false;
    for (double gain : gains) {
      boolean next = state.shouldSpill(PREFIX, gain, MARGIN);
      if (gain > MARGIN) {
        assertThat(next).isTrue();
      } else if (gain < MARGIN / 2) {
        assertThat(next).isFalse();
      } else {
        assertThat(next).isEqualTo(spilling);
      }
      spilling = next;
    }
  }

  /** Guards against unbounded memory when many prefixes spill. */
  @Example
  void remembersABoundedNumberOfPrefixes() {
    SpillState state = new SpillState(8);
    for (int prefix = 0; prefix < 100; prefix++) {
      state.shouldSpill(new BlockKey(prefix, 0), 2 * MARGIN, MARGIN);
    }
    assertThat(state.size()).isEqualTo(8);
  }
}

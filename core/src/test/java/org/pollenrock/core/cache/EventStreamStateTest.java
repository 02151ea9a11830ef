package org.pollenrock.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class EventStreamStateTest {
  /** Guards against an event being applied twice, out of order, or a gap that goes unnoticed. */
  @Property(seed = "4201", tries = 300, shrinking = ShrinkingMode.FULL)
  void agreesWithTheHighestSequenceSeen(
      @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 30) Integer> sequences) {
    EventStreamState state = new EventStreamState();
    Integer highest = null;
    for (int sequence : sequences) {
      EventStreamState.Step expected = EventStreamState.Step.APPLY;
      if (highest != null && sequence <= highest) {
        expected = EventStreamState.Step.IGNORE;
      } else if (highest != null && sequence > highest + 1) {
        expected = EventStreamState.Step.APPLY_AFTER_GAP;
      }
      assertThat(state.accept(sequence)).isEqualTo(expected);
      highest = highest == null ? sequence : Math.max(highest, sequence);
      assertThat(state.applied()).isEqualTo((long) highest);
    }
  }

  /** Guards against a digest that undoes events which were applied after it was made. */
  @Example
  void outdatedDigestDoesNotMoveThePositionBack() {
    EventStreamState state = new EventStreamState();
    state.accept(10);
    assertThat(state.advanceTo(9)).isFalse();
    assertThat(state.advanceTo(14)).isTrue();
    assertThat(state.accept(15)).isEqualTo(EventStreamState.Step.APPLY);
    assertThat(state.accept(14)).isEqualTo(EventStreamState.Step.IGNORE);
    assertThat(state.gaps()).isZero();
    assertThat(state.ignored()).isEqualTo(1);
  }
}

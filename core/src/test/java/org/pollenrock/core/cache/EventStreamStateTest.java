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
  /** Guards against an event that is applied twice or out of order, and against a missed gap. */
  @Property(seed = "4201", tries = 300, shrinking = ShrinkingMode.FULL)
  void followsTheHighestSequenceSeen(
      @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 30) Integer> sequences) {
    EventStreamState state = new EventStreamState();
    Integer highest = null;
    for (int sequence : sequences) {
      EventStreamState.Action expected = EventStreamState.Action.APPLY;
      if (highest != null && sequence <= highest) {
        expected = EventStreamState.Action.IGNORE;
      } else if (highest != null && sequence > highest + 1) {
        expected = EventStreamState.Action.APPLY_AFTER_GAP;
      }
      assertThat(state.accept(sequence)).isEqualTo(expected);
      highest = highest == null ? sequence : Math.max(highest, sequence);
      assertThat(state.lastAppliedSequence()).isEqualTo((long) highest);
    }
  }

  /** Guards against a digest that reverts events that were applied after the digest was made. */
  @Example
  void outdatedDigestDoesNotMoveThePositionBack() {
    EventStreamState state = new EventStreamState();
    state.accept(10);
    assertThat(state.advanceTo(9)).isFalse();
    assertThat(state.advanceTo(14)).isTrue();
    assertThat(state.accept(15)).isEqualTo(EventStreamState.Action.APPLY);
    assertThat(state.accept(14)).isEqualTo(EventStreamState.Action.IGNORE);
    assertThat(state.gapCount()).isZero();
    assertThat(state.ignoredCount()).isEqualTo(1);
  }
}

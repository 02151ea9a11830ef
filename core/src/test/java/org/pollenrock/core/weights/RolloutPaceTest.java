package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against loads of weights that take the engines which requests wait for. */
class RolloutPaceTest {
  private static final long MILLI = 1_000_000L;
  private static final int ENGINES = 60;

  private final RolloutPace pace = new RolloutPace();

  private int maxLoading(double spareEngines, long remainingMillis) {
    return pace.maxLoading(
        ENGINES,
        spareEngines,
        LongStream.generate(() -> remainingMillis * MILLI).limit(ENGINES).toArray(),
        0);
  }

  @Test
  void idleEnginesLoadAtTheMaximum() {
    assertThat(maxLoading(ENGINES, 100_000)).isEqualTo(24);
    assertThat(pace.maxLoading(8, 8, new long[] {100_000 * MILLI}, 0)).isEqualTo(4);
  }

  /** Burst: all slots are in use or requests wait. */
  @Test
  void busyEnginesLoadOneByOneWhileThereIsTime() {
    assertThat(maxLoading(0, 100_000)).isOne();
    assertThat(maxLoading(7.9, 100_000)).isEqualTo(7);
  }

  /** Old weights must not become mandatory to replace before the engines have been updated. */
  @Test
  void theTimeLeftOutweighsTheLoad() {
    pace.recordLoad(800 * MILLI, 1);
    assertThat(maxLoading(0, 6_000)).isEqualTo(10);
    assertThat(maxLoading(0, 0)).isEqualTo(24);
  }

  /** Several versions in quick succession: some engines have less time than the others. */
  @Test
  void enginesWithLessTimeCountByThemselves() {
    pace.recordLoad(800 * MILLI, 1);
    long[] remaining = LongStream.range(0, 50).map(i -> 100_000 * MILLI).toArray();
    remaining[0] = 0;
    remaining[1] = 0;
    remaining[2] = 0;
    assertThat(pace.maxLoading(ENGINES, 0, remaining, 0)).isEqualTo(3);
  }

  /** Engines that load slower the more load gain nothing from more loads at once. */
  @Test
  void slowedLoadsLowerTheNumberUntilTheyAreFastAgain() {
    pace.recordLoad(1_000 * MILLI, 8);
    pace.recordLoad(2_000 * MILLI, 24);
    assertThat(maxLoading(ENGINES, 100_000)).isEqualTo(12);
    for (int i = 0; i < 300; i++) {
      pace.recordLoad(1_000 * MILLI, maxLoading(ENGINES, 100_000));
    }
    assertThat(maxLoading(ENGINES, 100_000)).isEqualTo(24);
  }
}

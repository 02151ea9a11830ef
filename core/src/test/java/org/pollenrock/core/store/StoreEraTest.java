package org.pollenrock.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against late answers of an era that is over, and against returns that nobody notices. */
class StoreEraTest {
  private final StoreEra era = new StoreEra();

  private StoreEra.Comparison record(long named) {
    return era.record(OptionalLong.of(named));
  }

  @Test
  void firstEraIsNoReturn() {
    assertThat(record(7)).isEqualTo(StoreEra.Comparison.CURRENT);
  }

  @Test
  void answerWithoutAnEraMovesNothing() {
    record(7);
    assertThat(era.record(OptionalLong.empty())).isEqualTo(StoreEra.Comparison.CURRENT);
    assertThat(era.newest()).hasValue(7);
  }

  /** Answers of several eras arrive in any order, some of them twice or never. */
  @Property(tries = 5_000, seed = "2602")
  void eachReturnIsNoticedOnceAndOldAnswersNever(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StoreEra tested = new StoreEra();
    long newest = random.nextLong(100);
    tested.record(OptionalLong.of(newest));
    for (int answer = 0; answer < 50; answer++) {
      long named = Math.max(0, newest + random.nextLong(-3, 3));
      StoreEra.Comparison expected =
          named > newest
              ? StoreEra.Comparison.RISEN
              : named == newest ? StoreEra.Comparison.CURRENT : StoreEra.Comparison.OUTDATED;
      assertThat(tested.record(OptionalLong.of(named))).isEqualTo(expected);
      newest = Math.max(newest, named);
      assertThat(tested.newest()).hasValue(newest);
    }
  }
}

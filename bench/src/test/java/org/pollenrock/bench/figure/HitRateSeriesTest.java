package org.pollenrock.bench.figure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.bench.history.EngineRun;
import org.pollenrock.standin.engine.EngineExecution;

/** Guards against a recovery time that is too short or claimed without a recovery. */
class HitRateSeriesTest {
  private static final long TENTH = 100_000_000L;
  private static final FaultWindow FAULT = new FaultWindow(20 * TENTH, 40 * TENTH);
  private static final long TRACE_END = 100 * TENTH;

  private final List<EngineRun> runs = new ArrayList<>();

  @Test
  void waitsUntilAWholeSecondReachesNineTenths() {
    runs(0, 20, 80);
    runs(20, 60, 0);
    runs(60, 100, 85);

    // 72 % is reached when nine of the ten runs of a second have 85 %.
    assertThat(series().recoverySeconds(FAULT, TRACE_END)).hasValue(2.9);
  }

  @Test
  void hasNoValueWhenTheLevelIsNotReached() {
    runs(0, 20, 80);
    runs(20, 100, 71);

    assertThat(series().recoverySeconds(FAULT, TRACE_END)).isEmpty();
  }

  @Test
  void ignoresColdCachesAtTheStart() {
    runs(0, 10, 0);
    runs(10, 20, 80);
    runs(20, 100, 60);

    assertThat(series().recoverySeconds(FAULT, TRACE_END)).isEmpty();
  }

  @Test
  void takesNoSecondThatBeganDuringTheFault() {
    runs(0, 100, 80);

    assertThat(series().recoverySeconds(FAULT, TRACE_END)).hasValue(1.0);
  }

  private HitRateSeries series() {
    return new HitRateSeries(runs);
  }

  /** A run in the middle of each tenth of a second. */
  private void runs(int fromTenth, int toTenth, int cached) {
    for (int tenth = fromTenth; tenth < toTenth; tenth++) {
      EngineExecution execution =
          new EngineExecution("engine-1", "r-1-1", "salt", 1, "v1", 100, cached, List.of(), 0);
      runs.add(new EngineRun(execution, 0, tenth * TENTH + TENTH / 2));
    }
  }
}

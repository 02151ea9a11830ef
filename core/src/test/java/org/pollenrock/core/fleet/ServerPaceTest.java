package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against paces that are believed when they are old, and against reports that lie. */
class ServerPaceTest {
  private static final long MILLI = 1_000_000L;

  private final ServerPace pace = new ServerPace();

  private void report(int percent, long millis) {
    pace.record(new LoadReport(1, 0, 8, OptionalInt.of(percent), false), millis * MILLI);
  }

  @Test
  void slowMomentFadesWithinHundredsOfMilliseconds() {
    report(200, 0);
    assertThat(pace.factor(0)).isEqualTo(2);
    assertThat(pace.factor(200 * MILLI)).isCloseTo(1.5, within(0.001));
    assertThat(pace.factor(1_001 * MILLI)).isEqualTo(1);
  }

  @Test
  void reportThatAlwaysClaimsToBeFastGainsNothing() {
    for (int i = 0; i < 100; i++) {
      report(25, i);
    }
    assertThat(pace.factor(100 * MILLI)).isCloseTo(1, within(0.01));
  }

  @Test
  void absurdPaceHasABoundedEffect() {
    report(10_000, 0);
    assertThat(pace.factor(0)).isEqualTo(4);
  }

  @Test
  void serverWithoutPaceCountsAsUsual() {
    pace.record(new LoadReport(1, 0, 8), 0);
    assertThat(pace.factor(0)).isEqualTo(1);
    assertThat(pace.newestPercent()).isEmpty();
  }
}

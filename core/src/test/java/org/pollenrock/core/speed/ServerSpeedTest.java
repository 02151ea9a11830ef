package org.pollenrock.core.speed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Guards against servers that are treated as slow for too little evidence or for too long. */
class ServerSpeedTest {
  private static final long SECOND = 1_000_000_000L;

  private final ServerSpeed speed = new ServerSpeed(0);

  private void record(int count, double ratio, long nowNanos) {
    for (int i = 0; i < count; i++) {
      speed.record(ratio, nowNanos);
    }
  }

  @Test
  void singleSlowResponsesAreNoSlowServer() {
    record(3, 2, 0);
    assertThat(speed.factor()).isEqualTo(1);
  }

  @Test
  void manySlowResponsesAreASlowServer() {
    record(20, 2, 0);
    assertThat(speed.factor()).isCloseTo(2, within(0.01));
  }

  @Test
  void smallDifferenceIsNone() {
    record(100, 1.2, 0);
    assertThat(speed.factor()).isEqualTo(1);
  }

  @Test
  void serverWithoutResponsesFadesToUsual() {
    record(20, 2, 0);
    speed.refresh(30 * SECOND);
    assertThat(speed.factor()).isEqualTo(1);
  }

  @Test
  void instanceWithoutMeasurementsBelievesOthersUntilTheyExpire() {
    speed.applyPeer(1, new SpeedReport(2, 10, 3), 0);
    speed.applyPeer(2, new SpeedReport(2, 10, 0), 0);
    assertThat(speed.factor()).isEqualTo(2);
    assertThat(speed.limit()).hasValue(3);
    speed.refresh(7 * SECOND);
    assertThat(speed.factor()).isEqualTo(1);
    assertThat(speed.limit()).isEmpty();
  }

  @Test
  void ownResponsesOutweighAReportThatIsWrong() {
    speed.applyPeer(1, new SpeedReport(3, 5, 0), 0);
    record(30, 1, 0);
    assertThat(speed.factor()).isEqualTo(1);
  }

  @Test
  void othersAreToldOfServersThatDifferAndOfThoseTheyMistake() {
    record(20, 1, 0);
    assertThat(speed.ownReport(0).weight()).isZero();
    speed.applyPeer(1, new SpeedReport(8, 30, 0), 0);
    assertThat(speed.factor()).isGreaterThan(1);
    assertThat(speed.ownReport(0).ratio()).isCloseTo(1, within(0.01));
  }

  @Test
  void homesChangeSeldom() {
    record(20, 2, 0);
    assertThat(speed.homeShare()).isEqualTo(0.5);
    record(100, 1, SECOND);
    assertThat(speed.factor()).isEqualTo(1);
    assertThat(speed.homeShare()).isEqualTo(0.5);
    record(1, 1, 11 * SECOND);
    assertThat(speed.homeShare()).isEqualTo(1);
  }
}

package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against suspensions that go unnoticed because the monotonic clock stands still. */
class SuspensionDetectorTest {
  private static final long MILLI = 1_000_000L;

  private final SuspensionDetector detector = new SuspensionDetector();

  @Test
  void reportsTheTimeThatTheMonotonicClockMissed() {
    assertThat(detector.detect(10 * MILLI, 5_000)).isZero();
    assertThat(detector.detect(60 * MILLI, 5_050)).isZero();
    assertThat(detector.detect(110 * MILLI, 8_600)).isEqualTo(3_500 * MILLI);
    assertThat(detector.detect(160 * MILLI, 8_650)).isZero();
  }

  /** A pause during which both clocks run is no suspension. */
  @Test
  void ignoresTimeThatBothClocksCount() {
    detector.detect(0, 1_000);
    assertThat(detector.detect(4_000 * MILLI, 5_000)).isZero();
  }

  /** A step back must neither count nor hide a later suspension. */
  @Test
  void ignoresStepsBack() {
    detector.detect(0, 10_000);
    assertThat(detector.detect(50 * MILLI, 7_550)).isZero();
    assertThat(detector.detect(100 * MILLI, 9_600)).isEqualTo(2_000 * MILLI);
  }
}

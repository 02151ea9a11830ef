package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against requests to engines that load weights, and against engines that stay unused. */
class LoadingPauseTest {
  private static final long MILLI = 1_000_000L;
  private static final int SLOTS = 20;

  private final Backend backend =
      new Backend(
          new ListedBackend(
              "e", 1, "v1", "llm", "10.0.0.1", 80, "dc", SLOTS, true, Map.of("m", 1L)),
          0);

  /** The instance that announced the load dies, or all further announcements are lost. */
  @Test
  void pauseEndsByItself() {
    backend.loadingPause().begin(1_300 * MILLI, 0);
    assertThat(backend.isPaused(1_299 * MILLI)).isTrue();
    assertThat(backend.isPaused(1_300 * MILLI)).isFalse();
    backend.loadingPause().begin(Long.MAX_VALUE / 2, 2_000 * MILLI);
    assertThat(backend.isPaused(7_000 * MILLI)).isFalse();
  }

  /** A refusal does not tell how long the engine still loads, an announcement does. */
  @Test
  void refusalDoesNotShortenAnAnnouncedLoad() {
    backend.loadingPause().begin(1_300 * MILLI, 0);
    backend.loadingPause().begin(100 * MILLI);
    assertThat(backend.isPaused(1_299 * MILLI)).isTrue();
  }

  @Test
  void laterAnnouncementMayShortenThePause() {
    backend.loadingPause().begin(3_000 * MILLI, 0);
    backend.loadingPause().begin(400 * MILLI, 1_000 * MILLI);
    assertThat(backend.isPaused(1_500 * MILLI)).isFalse();
  }

  /** An engine that dies after its load must not be taken for one that loads. */
  @Test
  void silenceIsNotToleratedForAnAnnouncedTimeThatHasEnded() {
    backend.recordRequestStart(0, 0);
    backend.loadingPause().begin(4_000 * MILLI, 0);
    backend.recordWeightsVersion("m", 2, 500 * MILLI);
    assertThat(backend.silentNanos(1_500 * MILLI)).isEqualTo(1_050 * MILLI);
  }

  /** All instances find the engine empty and would send to it at the same time. */
  @Test
  void engineThatHasLoadedIsFilledStepByStep() {
    backend.loadingPause().begin(1_000 * MILLI, 0);
    backend.recordWeightsVersion("m", 2, 800 * MILLI);
    assertThat(backend.isPaused(800 * MILLI)).isFalse();
    assertThat(backend.load(800 * MILLI)).isEqualTo(SLOTS);
    assertThat(backend.load(1_050 * MILLI)).isEqualTo(SLOTS / 2.0);
    assertThat(backend.load(1_300 * MILLI)).isZero();
  }

  /** A version learned late concerns no pause and must not make an engine look busy. */
  @Test
  void engineWithoutPauseIsNotFilledAgain() {
    backend.recordWeightsVersion("m", 2, 800 * MILLI);
    assertThat(backend.load(800 * MILLI)).isZero();
  }

  /** A full engine needs a short pause, one that loads a longer one. */
  @Test
  void queueTellsAFullEngineFromOneThatLoads() {
    assertThat(new LoadReport(SLOTS, 3, SLOTS).explainsRefusal()).isTrue();
    assertThat(new LoadReport(SLOTS, 0, SLOTS).explainsRefusal()).isFalse();
  }
}

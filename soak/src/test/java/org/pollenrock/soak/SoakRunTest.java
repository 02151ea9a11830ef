package org.pollenrock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against promises that break under faults from outside. */
class SoakRunTest {
  @TempDir private Path directory;

  /** Two short runs of fixed seeds. */
  @ParameterizedTest
  @CsvSource({"101, 8, 2", "102, 8, 2"})
  void promisesHold(long seed, int seconds, int gateways) throws Exception {
    play(new SoakSettings(seed, seconds, gateways, false, false));
  }

  /** The store comes back from older copies beside all other faults. */
  @ParameterizedTest
  @CsvSource({"201, 10, 2"})
  void promisesHoldWhenTheStoreReturnsOlder(long seed, int seconds, int gateways) throws Exception {
    play(new SoakSettings(seed, seconds, gateways, true, false));
  }

  /**
   * Seeds that failed once. 42: the relay let bytes overtake others when its delay changed. 45: a
   * SIGHUP during the start ended a gateway.
   */
  @ParameterizedTest
  @CsvSource({"42, 10, 3", "45, 10, 3"})
  void seedsThatFailedOnceHold(long seed, int seconds, int gateways) throws Exception {
    play(new SoakSettings(seed, seconds, gateways, false, false));
  }

  /** Requests were cut without a response at the end of a stop; the seed plays stops. */
  @ParameterizedTest
  @CsvSource({"301, 8, 2"})
  void requestsThatRanAreAnsweredInAStop(long seed, int seconds, int gateways) throws Exception {
    play(new SoakSettings(seed, seconds, gateways, false, false));
  }

  /** Callers got successes with the body of a failure, and requests ran twice. */
  @ParameterizedTest
  @CsvSource({"303, 8, 2"})
  void responsesOfServersThatBeginTwiceAreNotMixed(long seed, int seconds, int gateways)
      throws Exception {
    play(new SoakSettings(seed, seconds, gateways, false, true));
  }

  private void play(SoakSettings settings) throws Exception {
    System.out.println("soak seed " + settings.seed());
    SoakReport report = new SoakRun(settings, directory).play();
    assertThat(report.violations()).as(report.text()).isEmpty();
    assertThat(report.completed()).isPositive();
  }
}

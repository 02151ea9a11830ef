package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.prompt;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;

import org.junit.jupiter.api.Test;

/**
 * Guards against the quarantine of sound parts of which no completion is known, and against a late
 * quarantine of bad ones.
 */
class QuarantineLimitsTest {
  /** Time in which an observation has to reach all instances. */
  private static final long CONTACT_NANOS = 3 * SECOND;

  private static final CrashSuspects BAD = prompt("system", "bad");
  private static final CrashSuspects SOUND = prompt("system", "sound");

  private final QuarantineFixture fixture = new QuarantineFixture();
  private final CrashQuarantine quarantine = fixture.quarantine();

  /** The only engine may crash for a reason of its own before anything has completed. */
  @Test
  void admitsAHotPartAfterTheOnlyEngineCrashedBeforeTheFirstCompletion() {
    for (int start = 1; start <= 3; start++) {
      fixture.crash(server("s1", start), start * SECOND, SOUND);
    }
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** Sound requests must be served again although they have a part in common with the bad ones. */
  @Test
  void servesTheFirstSoundRequestsOfACallerAfterItsBadOnes() {
    for (int i = 1; i <= 5; i++) {
      if (!quarantine.isQuarantined(BAD, i * SECOND)) {
        fixture.crash(server("s" + i), i * SECOND, BAD);
      }
    }
    long fromNanos = 5 * SECOND + 2 * CONTACT_NANOS;
    int admitted = 0;
    int count = 100;
    for (int i = 0; i < count; i++) {
      long nanos = fromNanos + i * SECOND;
      if (!quarantine.isQuarantined(SOUND, nanos)) {
        admitted++;
        quarantine.recordCompletion(SOUND, nanos + 500 * MILLI);
      }
    }
    assertThat(admitted).isGreaterThanOrEqualTo(count / 2);
  }

  /**
   * Requests with the bad part may come in bursts, each of which crashes several servers at once.
   */
  @Test
  void refusesABadPartWhoseRequestsComeInBursts() {
    int crashes = 0;
    long countedFromNanos = Long.MAX_VALUE;
    int counted = 0;
    for (int burst = 1; burst <= 5; burst++) {
      long nanos = 10 * burst * SECOND;
      quarantine.recordCompletion(prompt("system"), nanos - SECOND);
      if (quarantine.isQuarantined(BAD, nanos)) {
        break;
      }
      for (int i = 0; i < 5; i++) {
        counted += nanos > countedFromNanos ? 1 : 0;
        fixture.crash(server("s" + burst + "-" + i), nanos + i * MILLI, BAD);
        if (++crashes == 5) {
          countedFromNanos = nanos + i * MILLI + CONTACT_NANOS;
        }
      }
    }
    assertThat(counted).isLessThanOrEqualTo(3);
  }
}

package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.hash;
import static org.pollenrock.core.quarantine.QuarantineFixture.prompt;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;

import org.junit.jupiter.api.Test;

/**
 * Guards against sound parts that are refused for minutes although one completion would show that
 * they are sound, and against trials that let a bad part end server after server.
 */
class TrialTest {
  private static final CrashSuspects PROMPT = prompt("system", "hot");
  private static final CrashSuspects BAD = prompt("system", "bad");

  /** Time after the fifth crash from which requests count. */
  private static final long CONTACT_NANOS = 3 * SECOND;

  private final QuarantineFixture fixture = new QuarantineFixture();
  private final CrashQuarantine quarantine = fixture.quarantine();

  private void crashThreeTimes(CrashSuspects prompt) {
    for (int second = 1; second <= 3; second++) {
      fixture.crash(server("s" + second), second * SECOND, prompt);
    }
  }

  /** Sends a request as soon as it is accepted, and returns when. */
  private long sendFirstAccepted(CrashSuspects prompt, long fromNanos) {
    long nanos = fromNanos;
    while (quarantine.isQuarantined(prompt, nanos)) {
      nanos += 100 * MILLI;
    }
    quarantine.recordSend(prompt, nanos);
    return nanos;
  }

  @Test
  void oneCompletionAdmitsAllAgain() {
    crashThreeTimes(PROMPT);
    assertThat(quarantine.isQuarantined(PROMPT, 4 * SECOND)).isTrue();
    long sentNanos = sendFirstAccepted(PROMPT, 4 * SECOND);
    assertThat(sentNanos).isLessThanOrEqualTo(6 * SECOND);
    assertThat(quarantine.isQuarantined(PROMPT, sentNanos + SECOND)).as("under way").isTrue();
    quarantine.recordCompletion(PROMPT, sentNanos + SECOND);
    assertThat(quarantine.isQuarantined(PROMPT, sentNanos + SECOND)).isFalse();
    assertThat(quarantine.hasNoStrikes()).isTrue();
  }

  /** A part that ends each server that runs it may reach three after the fifth. */
  @Test
  void badPartEndsFewServersWhileNothingElseCompletes() {
    for (CrashSuspects bad : new CrashSuspects[] {PROMPT, prompt("alone")}) {
      QuarantineFixture own = new QuarantineFixture();
      int crashes = 0;
      int counted = 0;
      long countedFromNanos = Long.MAX_VALUE;
      for (long nanos = SECOND; nanos < CrashQuarantine.QUARANTINE_NANOS; nanos += 100 * MILLI) {
        if (!own.quarantine().isQuarantined(bad, nanos)) {
          own.quarantine().recordSend(bad, nanos);
          own.crash(server("s" + crashes), nanos, bad);
          counted += nanos > countedFromNanos ? 1 : 0;
          if (++crashes == 5) {
            countedFromNanos = nanos + CONTACT_NANOS;
          }
        }
      }
      assertThat(counted).isBetween(1, 3);
    }
  }

  /** Completions between the crashes prove that the part is to blame. */
  @Test
  void partThatIsProvenBadIsNotTried() {
    crashThreeTimes(BAD);
    quarantine.recordCompletion(PROMPT, 4 * SECOND);
    fixture.crash(server("s4"), 5 * SECOND, BAD);
    assertThat(fixture.quarantined()).containsExactly("bad");
    assertThat(quarantine.isOnTrial(hash("bad"))).isFalse();
    for (int second = 6; second < 600; second++) {
      assertThat(quarantine.isQuarantined(BAD, second * SECOND)).isTrue();
    }
  }

  /** While others are served, a part that may be bad can wait longer. */
  @Test
  void trialsAreRarerWhileOthersComplete() {
    crashThreeTimes(PROMPT);
    quarantine.recordCompletion(prompt("other"), 4 * SECOND);
    assertThat(sendFirstAccepted(PROMPT, 4 * SECOND)).isBetween(20 * SECOND, 30 * SECOND);
  }

  /** Instances go one after the other, so that the news of a trial arrive in between. */
  @Test
  void laterInstancesWaitForTheEarlierOnes() {
    crashThreeTimes(PROMPT);
    quarantine.setTrialRank(() -> 8);
    assertThat(sendFirstAccepted(PROMPT, 4 * SECOND)).isEqualTo(7 * SECOND);
  }

  @Test
  void trialOfAnotherInstanceDelaysTheNext() {
    crashThreeTimes(PROMPT);
    quarantine.applyQuarantine(hash("hot"), 5 * SECOND);
    assertThat(quarantine.isQuarantined(PROMPT, 6 * SECOND)).isTrue();
    // Repeated with the delay of a datagram.
    quarantine.applyQuarantine(hash("hot"), 5 * SECOND + 200 * MILLI);
    assertThat(quarantine.isQuarantined(PROMPT, 7 * SECOND)).isFalse();
  }

  /** An instance that has only heard of a quarantine can be the last that knows of it. */
  @Test
  void partKnownByHearsayIsTriedInTheEnd() {
    quarantine.applyQuarantine(hash("hot"), SECOND);
    assertThat(sendFirstAccepted(PROMPT, SECOND)).isBetween(60 * SECOND, 120 * SECOND);
  }

  /** A late datagram must not keep a part refused that has completed since. */
  @Test
  void completionOutweighsAQuarantineThatIsDatedTooLate() {
    quarantine.applyQuarantine(hash("hot"), 4_200 * MILLI);
    quarantine.applyClearing(hash("hot"), 4_000 * MILLI, 4_300 * MILLI);
    assertThat(quarantine.isQuarantined(PROMPT, 5 * SECOND)).isFalse();
    quarantine.applyQuarantine(hash("hot"), 4_200 * MILLI);
    assertThat(quarantine.isQuarantined(PROMPT, 5 * SECOND)).isFalse();
  }

  @Test
  void storedQuarantineStaysOnTrialIfItWas() {
    quarantine.applyStoredQuarantine(hash("bad"), SECOND, false, 300 * SECOND);
    assertThat(quarantine.isQuarantined(BAD, 600 * SECOND)).isTrue();
    quarantine.applyStoredQuarantine(hash("hot"), SECOND, true, 300 * SECOND);
    assertThat(quarantine.isQuarantined(PROMPT, 301 * SECOND)).as("others may try").isTrue();
    assertThat(sendFirstAccepted(PROMPT, 301 * SECOND)).isLessThanOrEqualTo(320 * SECOND);
  }

  /** A failure of many servers must not blame a rare part for as long as a quarantine lasts. */
  @Test
  void rarePartIsTriedAfterAMassFailure() {
    for (int i = 0; i < 12; i++) {
      fixture.crash(server("s" + i), SECOND + i * MILLI, prompt("system", "rare"));
    }
    quarantine.recordCompletion(prompt("system"), 2 * SECOND);
    CrashSuspects rare = prompt("system", "rare");
    assertThat(quarantine.isQuarantined(rare, 3 * SECOND)).isFalse();
    assertThat(quarantine.isQuarantined(rare, 5 * SECOND)).isTrue();
    long sentNanos = sendFirstAccepted(rare, 5 * SECOND);
    assertThat(sentNanos).isLessThanOrEqualTo(22 * SECOND);
    quarantine.recordCompletion(rare, sentNanos + SECOND);
    assertThat(quarantine.isQuarantined(rare, sentNanos + SECOND)).isFalse();
    assertThat(fixture.quarantined()).isEmpty();
  }
}

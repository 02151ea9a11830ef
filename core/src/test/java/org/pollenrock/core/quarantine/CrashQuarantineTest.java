package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.hash;
import static org.pollenrock.core.quarantine.QuarantineFixture.prompt;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;
import static org.pollenrock.core.quarantine.QuarantineFixture.strike;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;

/**
 * Guards against parts of prompts that crash server after server, and against the quarantine of
 * sound parts.
 */
class CrashQuarantineTest {
  private static final CrashSuspects BAD = prompt("system", "bad");
  private static final CrashSuspects SOUND = prompt("system", "sound");

  private final QuarantineFixture fixture = new QuarantineFixture();
  private final CrashQuarantine quarantine = fixture.quarantine();

  private void crashThreeTimes() {
    for (int second = 1; second <= 3; second++) {
      fixture.crash(server("s" + second), second * SECOND, BAD);
      quarantine.recordCompletion(SOUND, second * SECOND + SECOND / 2);
    }
  }

  /** The part that the requests at three crashes share is kept from a fourth server. */
  @Test
  void quarantinesAPartUnderWhichThreeServersEnded() {
    fixture.crash(server("s1"), SECOND, BAD);
    fixture.crash(server("s2"), 2 * SECOND, BAD);
    quarantine.recordCompletion(SOUND, 2 * SECOND + 1);
    assertThat(quarantine.isQuarantined(BAD, 2 * SECOND + MILLI)).isFalse();
    fixture.crash(server("s3"), 3 * SECOND, BAD);
    assertThat(quarantine.isQuarantined(BAD, 3 * SECOND + MILLI)).isTrue();
    assertThat(quarantine.isQuarantined(prompt("other", "bad"), 3 * SECOND + MILLI)).isTrue();
    assertThat(quarantine.quarantinedParts(3 * SECOND + MILLI)).containsExactly(hash("bad"));
    assertThat(fixture.quarantined()).containsExactly("bad");
    assertThat(quarantine.report(hash("bad")).orElseThrow().servers())
        .containsExactly("s1", "s2", "s3");
  }

  /** Callers with the same other parts must be served on. */
  @Test
  void admitsTheOtherPartsOfRefusedPrompts() {
    crashThreeTimes();
    assertThat(quarantine.isQuarantined(SOUND, 4 * SECOND)).isFalse();
    assertThat(quarantine.isQuarantined(prompt("system"), 4 * SECOND)).isFalse();
  }

  /** The last part belongs to one request alone, so that it can't be the common cause. */
  @Test
  void ignoresTheLastPart() {
    for (int second = 1; second <= 4; second++) {
      fixture.crash(server("s" + second), second * SECOND, prompt());
    }
    assertThat(fixture.strikes()).isEmpty();
  }

  /** Lost and garbled responses, and single connection resets, are no crashes. */
  @Test
  void ignoresBrokenSendsOfServersThatLive() {
    for (int second = 1; second <= 9; second++) {
      quarantine.recordBroken(server("s" + second), BAD, second * SECOND, second * SECOND);
    }
    assertThat(fixture.strikes()).isEmpty();
    quarantine.recordServerEnded(server("s1"), 9 * SECOND);
    assertThat(fixture.strikes()).as("the break lies too far back").isEmpty();
  }

  /** The end of a server may be noticed before the break of the send. */
  @Test
  void countsABreakAfterTheDetectedEnd() {
    quarantine.recordServerEnded(server("s1"), SECOND);
    quarantine.recordBroken(server("s1"), BAD, SECOND, SECOND + MILLI);
    assertThat(fixture.strikes()).hasSize(2);
    quarantine.recordBroken(
        server("s1"), prompt("late"), SECOND, SECOND + CrashQuarantine.CONFIRMATION_NANOS + 1);
    assertThat(fixture.strikes()).hasSize(2);
  }

  /** Several requests that break at one crash, or repeated evidence, must not count twice. */
  @Test
  void countsAServerOncePerPart() {
    for (int i = 0; i < 5; i++) {
      fixture.crash(server("s1"), SECOND + i * 400 * MILLI, BAD, BAD);
    }
    assertThat(fixture.strikes()).hasSize(2);
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** A server that restarts under its old identity is another life. */
  @Test
  void countsEachStartOfAServer() {
    for (int start = 1; start <= 3; start++) {
      fixture.crash(server("s1", start), start * SECOND, BAD);
    }
    assertThat(quarantine.isQuarantined(BAD, 4 * SECOND)).isTrue();
  }

  /** A rare part must not gather strikes of unrelated crashes over days. */
  @Test
  void ignoresOldStrikes() {
    for (int i = 1; i <= 9; i++) {
      fixture.crash(server("s" + i), i * CrashQuarantine.STRIKE_VALID_NANOS / 2, BAD);
    }
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** A power failure ends many servers at once and must not blame the parts in use everywhere. */
  @Test
  void countsTheCrashOfManyServersAtOnceAsOneEpisode() {
    for (int i = 0; i < 50; i++) {
      fixture.crash(server("s" + i), SECOND + i * 4 * MILLI, SOUND);
    }
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** Repeated power failures hit the parts in use everywhere again and again. */
  @Test
  void admitsHotPartsAfterRepeatedMassCrashes() {
    for (int failure = 0; failure < 20; failure++) {
      long nanos = (1 + failure) * SECOND;
      for (int i = 0; i < 8; i++) {
        fixture.crash(server("s" + failure + "-" + i), nanos + i * MILLI, SOUND);
      }
      quarantine.recordCompletion(SOUND, nanos + SECOND / 2);
    }
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** The only engine may crash again before anything completes, for a reason of its own. */
  @Test
  void admitsAHotPartWhileTheOnlyEngineKeepsCrashing() {
    quarantine.recordCompletion(SOUND, 1);
    for (int start = 1; start <= 20; start++) {
      fixture.crash(server("s1", start), start * SECOND, SOUND);
    }
    assertThat(fixture.quarantined()).isEmpty();
  }

  /** New weights can make a part that was sound crash the engines that run it. */
  @Test
  void quarantinesAPartThatTurnedBadWhileOthersComplete() {
    quarantine.recordCompletion(BAD, 1);
    for (int second = 1; second < CrashQuarantine.EPISODES_IF_COMPLETED; second++) {
      assertThat(quarantine.isQuarantined(BAD, second * SECOND)).isFalse();
      fixture.crash(server("s" + second), second * SECOND, BAD);
      quarantine.recordCompletion(SOUND, second * SECOND + SECOND / 2);
    }
    assertThat(fixture.quarantined()).isEmpty();
    fixture.crash(server("last"), 10 * SECOND, BAD);
    assertThat(fixture.quarantined()).containsExactly("bad");
  }

  /** A completion proves the part sound, also if it was quarantined by mistake. */
  @Test
  void clearsAPartThatCompletes() {
    crashThreeTimes();
    quarantine.recordCompletion(BAD, 4 * SECOND);
    assertThat(quarantine.isQuarantined(BAD, 4 * SECOND)).isFalse();
    assertThat(fixture.cleared()).contains(hash("bad"));
    assertThat(quarantine.report(hash("bad"))).isEmpty();
  }

  /** After the quarantine one more crash has to suffice. */
  @Test
  void quarantinesAgainAfterOneFurtherStrike() {
    crashThreeTimes();
    long endNanos = 3 * SECOND + CrashQuarantine.QUARANTINE_NANOS;
    assertThat(quarantine.isQuarantined(BAD, endNanos - 1)).isTrue();
    assertThat(quarantine.isQuarantined(BAD, endNanos)).isFalse();
    fixture.crash(server("s4"), endNanos + SECOND, BAD);
    assertThat(quarantine.isQuarantined(BAD, endNanos + 2 * SECOND)).isTrue();
    assertThat(fixture.quarantined()).containsExactly("bad", "bad");
  }

  /** A response that ended before the crash says nothing about the parts that crashed it. */
  @Test
  void keepsStrikesAfterTheCompletion() {
    crashThreeTimes();
    quarantine.recordCompletion(BAD, 3 * SECOND - MILLI);
    assertThat(quarantine.isQuarantined(BAD, 4 * SECOND)).isTrue();
  }

  /** A request that was already running may crash its server after the quarantine began. */
  @Test
  void extendsTheQuarantineByAStrike() {
    crashThreeTimes();
    fixture.crash(server("s4"), 5 * SECOND, BAD);
    assertThat(quarantine.isQuarantined(BAD, 4 * SECOND + CrashQuarantine.QUARANTINE_NANOS))
        .isTrue();
    assertThat(fixture.quarantined()).containsExactly("bad");
  }

  /** Crashes are spread over the instances, none of which may see three of them. */
  @Test
  void quarantinesByStrikesOfOtherInstances() {
    fixture.crash(server("s1"), SECOND, BAD);
    quarantine.applyStrike(strike(hash("bad"), 2, 2 * SECOND), 2 * SECOND + MILLI);
    quarantine.applyStrike(strike(hash("bad"), 2, 2 * SECOND), 3 * SECOND);
    assertThat(fixture.quarantined()).isEmpty();
    quarantine.applyStrike(strike(hash("bad"), 3, 3 * SECOND), 3 * SECOND + MILLI);
    assertThat(fixture.quarantined()).containsExactly("bad");
    assertThat(fixture.strikes()).extracting(CrashQuarantine.Strike::nanos).containsOnly(SECOND);
  }

  /** Announced strikes may arrive late and in another order. */
  @Test
  void appliesClearingsByTheirTime() {
    long part = hash("bad");
    quarantine.applyStrike(strike(part, 1, SECOND), 4 * SECOND);
    quarantine.applyClearing(part, 2 * SECOND, 4 * SECOND);
    assertThat(quarantine.report(part)).as("struck before the completion").isEmpty();
    quarantine.applyStrike(strike(part, 2, 3 * SECOND), 4 * SECOND);
    quarantine.applyClearing(part, 2 * SECOND, 5 * SECOND);
    assertThat(quarantine.report(part)).as("struck after the completion").isPresent();
  }

  /** An instance that knows a part to be sound tells those that only know its strikes. */
  @Test
  void vouchesForAPartBeforeItIsQuarantined() {
    quarantine.recordCompletion(SOUND, 1);
    quarantine.applyStrike(strike(hash("sound"), 1, SECOND), SECOND);
    assertThat(fixture.cleared()).isEmpty();
    quarantine.applyStrike(strike(hash("sound"), 2, 2 * SECOND), 2 * SECOND);
    assertThat(fixture.cleared()).containsExactly(hash("sound"));
    QuarantineFixture other = new QuarantineFixture();
    other.quarantine().applyStrike(strike(hash("sound"), 1, SECOND), SECOND);
    other.quarantine().applyStrike(strike(hash("sound"), 2, 2 * SECOND), 2 * SECOND);
    other.quarantine().applyClearing(hash("sound"), 1, 2 * SECOND);
    other.quarantine().applyStrike(strike(hash("sound"), 3, 3 * SECOND), 3 * SECOND);
    assertThat(other.quarantined()).isEmpty();
  }

  /** An instance that starts during an incident learns the quarantine from others. */
  @Test
  void appliesAQuarantineWithoutAnnouncingItAgain() {
    quarantine.applyQuarantine(hash("bad"), SECOND);
    assertThat(quarantine.isQuarantined(BAD, 2 * SECOND)).isTrue();
    assertThat(fixture.quarantined()).isEmpty();
    quarantine.applyQuarantine(hash("bad"), 2 * SECOND);
    assertThat(quarantine.isQuarantined(BAD, SECOND + CrashQuarantine.QUARANTINE_NANOS)).isFalse();
    quarantine.recordCompletion(BAD, 3 * SECOND);
    assertThat(quarantine.quarantinedParts(3 * SECOND)).isEmpty();
  }

  /** Instances that repeat what others told them must not keep a quarantine alive for ever. */
  @Test
  void announcementAfterTheEndDoesNotRenewTheQuarantine() {
    quarantine.applyQuarantine(hash("bad"), SECOND);
    long endNanos = SECOND + CrashQuarantine.QUARANTINE_NANOS;
    // Another instance learned it later, so that it lasts longer there.
    quarantine.applyQuarantine(hash("bad"), SECOND + MILLI);
    assertThat(quarantine.isQuarantined(BAD, endNanos)).isFalse();
    quarantine.applyQuarantine(hash("bad"), endNanos + MILLI);
    assertThat(quarantine.isQuarantined(BAD, endNanos + MILLI)).as("a new one").isTrue();
    assertThat(quarantine.quarantinedSinceNanos(hash("bad"))).hasValue(endNanos + MILLI);
  }

  /** A late announcement must not quarantine again a part that has been found sound since. */
  @Test
  void completionOutweighsAnOlderQuarantine() {
    quarantine.applyClearing(hash("sound"), 2 * SECOND, 3 * SECOND);
    quarantine.applyQuarantine(hash("sound"), SECOND);
    assertThat(quarantine.isQuarantined(SOUND, 3 * SECOND)).isFalse();
    assertThat(quarantine.completionSince(hash("sound"), SECOND)).hasValue(2 * SECOND);
    quarantine.applyQuarantine(hash("sound"), 3 * SECOND);
    assertThat(quarantine.isQuarantined(SOUND, 3 * SECOND)).isTrue();
  }

  /** Callers that invent parts must not fill the memory. */
  @Test
  void boundsTheTrackedParts() {
    // Hashes of parts are even.
    for (int i = 0; i < 2 * CrashQuarantine.MAX_ENTRIES; i++) {
      quarantine.applyQuarantine(2L * i, SECOND);
    }
    assertThat(quarantine.quarantinedParts(SECOND))
        .hasSize(CrashQuarantine.MAX_ENTRIES)
        .contains(2 * (2L * CrashQuarantine.MAX_ENTRIES - 1))
        .doesNotContain(0L);
  }

  /** Times of the clock may be negative. */
  @Test
  void worksWithAnyOriginOfTheClock() {
    for (long origin : new long[] {-2 * SECOND, Long.MAX_VALUE - 2 * SECOND}) {
      QuarantineFixture shifted = new QuarantineFixture();
      for (int second = 0; second < 3; second++) {
        Backend server = server("s" + second);
        shifted.crash(server, origin + second * SECOND, BAD);
      }
      assertThat(shifted.quarantine().isQuarantined(BAD, origin + 3 * SECOND)).isTrue();
    }
  }
}

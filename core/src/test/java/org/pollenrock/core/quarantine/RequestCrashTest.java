package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.request;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;

/**
 * Guards against a request that crashes server after server although other requests with the same
 * parts of prompts complete, and against sound requests that are refused with it.
 */
class RequestCrashTest {
  private static final CrashSuspects BAD = request("bad", "system", "dossier");
  private static final CrashSuspects SOUND = request("sound", "system", "dossier");

  /** Time after the third crash from which sends count. */
  private static final long CONTACT_NANOS = 3 * SECOND;

  private static final int MAX_LATE_SENDS = 3;

  private final QuarantineFixture fixture = new QuarantineFixture();
  private final CrashQuarantine quarantine = fixture.quarantine();

  /** Sends requests to a server, which ends under them after a time. */
  private void crash(String server, long sentNanos, long ranNanos, CrashSuspects... requests) {
    Backend backend = server(server);
    for (CrashSuspects each : requests) {
      quarantine.recordBroken(backend, each, sentNanos, sentNanos + ranNanos);
    }
    quarantine.recordServerEnded(backend, sentNanos + ranNanos + MILLI);
  }

  /** A resend reaches the next server at once, so that the crashes follow in quick succession. */
  @Test
  void requestIsRefusedAfterThreeCrashesWhileOthersComplete() {
    for (int i = 0; i < 3; i++) {
      assertThat(quarantine.isQuarantined(BAD, SECOND + i * 60 * MILLI)).isFalse();
      crash("s" + i, SECOND + i * 60 * MILLI, 50 * MILLI, BAD);
      quarantine.recordCompletion(SOUND, SECOND + i * 60 * MILLI + 55 * MILLI);
    }
    assertThat(quarantine.isQuarantined(BAD, 2 * SECOND)).isTrue();
    assertThat(quarantine.isQuarantined(SOUND, 2 * SECOND)).isFalse();
    assertThat(fixture.quarantined()).containsExactly("request");
  }

  /** The same request may have completed before it began to crash servers. */
  @Test
  void earlierCompletionDoesNotPostponeTheQuarantine() {
    crash("s0", 0, MILLI, SOUND);
    quarantine.recordCompletion(BAD, SECOND);
    for (int i = 1; i <= 3; i++) {
      crash("s" + i, (i + 1) * SECOND, 50 * MILLI, BAD);
      quarantine.recordCompletion(SOUND, (i + 1) * SECOND + 500 * MILLI);
    }
    assertThat(quarantine.isQuarantined(BAD, 5 * SECOND)).isTrue();
  }

  /** One completion anywhere shows that a request does not crash servers. */
  @Test
  void completionClearsARequestThatRanBesideABadOne() {
    crash("s1", SECOND, 50 * MILLI, BAD, SOUND);
    crash("s2", 2 * SECOND, 50 * MILLI, BAD, SOUND);
    quarantine.recordCompletion(SOUND, 3 * SECOND);
    crash("s3", 4 * SECOND, 50 * MILLI, BAD, SOUND);
    assertThat(quarantine.isQuarantined(SOUND, 5 * SECOND)).isFalse();
    assertThat(quarantine.isQuarantined(BAD, 5 * SECOND)).isTrue();
  }

  /** Many callers may have sent the same request when all servers lose power. */
  @Test
  void serversThatEndTogetherAccuseNoRequest() {
    for (int i = 0; i < 8; i++) {
      crash("s" + i, SECOND + i * 10 * MILLI, 500 * MILLI - i * 10 * MILLI, SOUND);
    }
    assertThat(quarantine.isQuarantined(SOUND, 2 * SECOND)).isFalse();
  }

  /** The only server of a service crashes for another reason, and all requests are alike. */
  @Test
  void soundRequestIsTriedSoonAndAdmittedAgainAfterItCompletes() {
    for (int i = 1; i <= 3; i++) {
      crash("s" + i, i * SECOND, 50 * MILLI, SOUND);
    }
    long nanos = 4 * SECOND;
    while (quarantine.isQuarantined(SOUND, nanos)) {
      nanos += 100 * MILLI;
    }
    assertThat(nanos).isLessThanOrEqualTo(6 * SECOND);
    quarantine.recordSend(SOUND, nanos);
    assertThat(quarantine.isQuarantined(SOUND, nanos + SECOND)).as("under way").isTrue();
    quarantine.recordCompletion(SOUND, nanos + SECOND);
    assertThat(quarantine.isQuarantined(SOUND, nanos + SECOND)).isFalse();
    assertThat(quarantine.hasNoStrikes()).isTrue();
  }

  @Test
  void trialsOfABadRequestEndFewServers() {
    for (boolean othersComplete : new boolean[] {true, false}) {
      QuarantineFixture own = new QuarantineFixture();
      int crashes = 0;
      int late = 0;
      long thirdNanos = 0;
      for (long nanos = 0; nanos < 300 * SECOND; nanos += 200 * MILLI) {
        if (othersComplete) {
          own.quarantine().recordCompletion(SOUND, nanos);
        }
        if (own.quarantine().isQuarantined(BAD, nanos)) {
          continue;
        }
        own.quarantine().recordSend(BAD, nanos);
        late += crashes >= 3 && nanos - thirdNanos > CONTACT_NANOS ? 1 : 0;
        own.crash(server("s" + ++crashes), nanos + 50 * MILLI, BAD);
        thirdNanos = crashes == 3 ? nanos + 50 * MILLI : thirdNanos;
      }
      assertThat(late).isLessThanOrEqualTo(MAX_LATE_SENDS);
    }
  }

  /** A flood of unlike bad requests must not fill the memory or displace parts. */
  @Test
  void floodOfRequestsLeavesQuarantinedParts() {
    long part = QuarantineFixture.hash("bad");
    quarantine.applyQuarantine(part, SECOND);
    for (int i = 0; i < 2 * CrashQuarantine.MAX_ENTRIES; i++) {
      crash("s" + i, SECOND + i, MILLI, request("r" + i));
    }
    assertThat(quarantine.quarantinedParts(2 * SECOND)).containsExactly(part);
    assertThat(quarantine.trackedEntries())
        .isLessThanOrEqualTo(CrashQuarantine.MAX_ENTRIES + 1 + CrashQuarantine.MAX_SERVERS);
  }

  private long firstTrialNanos(long ranNanos) {
    for (int i = 1; i <= 3; i++) {
      crash("s" + i, 3 * i * SECOND, ranNanos, BAD);
      quarantine.recordCompletion(SOUND, 3 * i * SECOND + 2_500 * MILLI);
    }
    long nanos = 12 * SECOND;
    while (quarantine.isQuarantined(BAD, nanos)) {
      nanos += 100 * MILLI;
    }
    return nanos - 9 * SECOND - ranNanos;
  }

  /** Crashes with another cause cut long runs off, while short ones complete in between. */
  @Test
  void requestThatHasRunForLongIsTriedSoon() {
    assertThat(firstTrialNanos(2 * SECOND)).isLessThan(6 * SECOND);
  }

  @Test
  void requestThatEndsServersAtOnceIsTriedLate() {
    assertThat(firstTrialNanos(100 * MILLI)).isGreaterThanOrEqualTo(20 * SECOND);
  }

  /** A request that ends servers late must not reach more of them than one that does so at once. */
  @Test
  void lateCrashesEndFewServers() {
    int sends = 0;
    int lateSends = 0;
    for (long nanos = SECOND; nanos < CrashQuarantine.QUARANTINE_NANOS; nanos += SECOND) {
      quarantine.recordCompletion(SOUND, nanos);
      if (!quarantine.isQuarantined(BAD, nanos)) {
        quarantine.recordSend(BAD, nanos);
        crash("s" + sends, nanos, 2 * SECOND, BAD);
        lateSends += ++sends > 3 ? 1 : 0;
        nanos += 2 * SECOND;
      }
    }
    assertThat(lateSends).isBetween(1, MAX_LATE_SENDS);
  }
}

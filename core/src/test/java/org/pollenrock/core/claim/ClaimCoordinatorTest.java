package org.pollenrock.core.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.claim.ClaimHarness.BODY_DIGEST;
import static org.pollenrock.core.claim.ClaimHarness.NANOS_PER_MILLI;
import static org.pollenrock.core.claim.ClaimHarness.NO_SERVER;
import static org.pollenrock.core.claim.ClaimHarness.START_MILLIS;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.record.InMemoryLog;

/** Tests of the coordinator with one or more routers that share a log in memory. */
class ClaimCoordinatorTest {
  private static final CallOutcome OUTCOME = CallOutcome.of(201, "text/plain", new byte[] {7});

  private final InMemoryLog log = ClaimHarness.newLog();
  private final ClaimHarness router1 = new ClaimHarness(log, "router-1", 1);
  private final ClaimHarness router2 = new ClaimHarness(log, "router-2", 1);

  private static void assertRefused(ClaimHarness router, long callId, ErrorCode code) {
    RequestError error = router.findError(callId).orElseThrow();
    assertThat(error.code()).isEqualTo(code);
    assertThat(error.runState()).isEqualTo(RunState.NOT_RUN);
  }

  private static void assertOutcomeUnknown(ClaimHarness router, long callId) {
    assertThat(router.findError(callId).orElseThrow().runState()).isEqualTo(RunState.UNKNOWN);
  }

  /** Guards against two routers winning a key, and a losing call never receiving the outcome. */
  @Test
  void firstClaimInTheLogWins() {
    router1.begin(1);
    router2.begin(2);
    router2.appendAll();
    router1.appendAll();
    router1.read();
    router2.read();
    assertThat(router1.grantedCalls()).isEmpty();
    assertThat(router2.grantedCalls()).containsExactly(2L);
    assertThat(router2.coordinator().tryMarkSent(2, router2.nowNanos())).isTrue();
    assertThat(router2.coordinator().tryMarkSent(2, router2.nowNanos())).as("sent twice").isFalse();
    router2.apply(router2.coordinator().recordOutcome(2, OUTCOME, router2.nowNanos()));
    router2.advance(20);
    router2.appendAll();
    router1.read();
    assertThat(router1.outcomeReplies().getFirst().outcome().status()).isEqualTo(201);
    assertThat(router2.outcomeReplies()).hasSize(1);
  }

  /** Guards against dropping or repeating a claim when only the response of its append was lost. */
  @Test
  void claimIsGrantedWhenOnlyTheAppendResponseWasLost() {
    router1.begin(1);
    ClaimDecision.AppendClaims append = router1.takeAppend();
    log.append(append.data());
    router1.apply(
        router1.coordinator().recordUncertainAppend(append.appendId(), router1.nowNanos()));
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
    router1.advance(300);
    router1.read();
    router1.advance(300);
    assertThat(router1.hasAppend()).as("append is retried").isFalse();
  }

  /**
   * Guards against losing a claim whose append had no effect, and against counting a late copy of
   * it as a second claim.
   */
  @Test
  void lostAppendIsRetriedAndItsLateCopyIsTheSameClaim() {
    router1.begin(1);
    ClaimDecision.AppendClaims lost = router1.takeAppend();
    router1.apply(router1.coordinator().recordUncertainAppend(lost.appendId(), router1.nowNanos()));
    router1.read();
    assertThat(router1.hasAppend()).isFalse();
    router1.advance(200);
    router1.read();
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
    log.append(lost.data());
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
    router2.read();
    assertThat(router2.coordinator().table().size()).isEqualTo(1);
  }

  /** Guards against not retrying a refused append, for example one above the rate limit. */
  @Test
  void failedAppendIsRetriedAfterBackoff() {
    router1.begin(1);
    router1.apply(
        router1
            .coordinator()
            .recordAppendFailure(router1.takeAppend().appendId(), router1.nowNanos()));
    assertThat(router1.hasAppend()).isFalse();
    router1.advance(10);
    assertThat(router1.hasAppend()).isFalse();
    router1.advance(10);
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
  }

  /**
   * Guards against another router, or the next incarnation of the same router, sending a call under
   * the claim of a router that crashed.
   */
  @Test
  void claimOfACrashedRouterIsNeverTakenOver() {
    router1.beginAppendAndRead(1);
    ClaimHarness successor = new ClaimHarness(log, "router-1", 2);
    successor.begin(3);
    router2.read();
    router2.begin(2);
    successor.advance(5_000);
    router2.advance(5_000);
    assertThat(successor.grantedCalls()).isEmpty();
    assertThat(router2.grantedCalls()).isEmpty();
    assertOutcomeUnknown(successor, 3);
    assertOutcomeUnknown(router2, 2);
  }

  /** Guards against sending a call after its caller received a reply that says it was not run. */
  @Test
  void grantedCallIsNotSentAfterAPauseOfAnHour() {
    router1.beginAppendAndRead(1);
    assertThat(router1.grantedCalls()).containsExactly(1L);
    assertThat(router1.coordinator().tryMarkSent(1, 3_600_000 * NANOS_PER_MILLI)).isFalse();
    router1.advance(3_600_000);
    assertRefused(router1, 1, ErrorCode.DEADLINE_UNREACHABLE);
    assertThat(router1.coordinator().tryMarkSent(1, router1.nowNanos())).isFalse();
    log.append(new byte[0]);
    router2.read();
    router2.begin(2);
    assertRefused(router2, 2, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /**
   * Guards against accepting a claim while the log is unavailable, and against sending a call that
   * was refused during the outage because its claim appears in the log afterwards.
   */
  @Test
  void logOutageRefusesCallsAndReleasesTheClaimLater() {
    router1.begin(1);
    ClaimDecision.AppendClaims append = router1.takeAppend();
    router1.apply(
        router1.coordinator().recordUncertainAppend(append.appendId(), router1.nowNanos()));
    router1.apply(router1.coordinator().markLogUnavailable(router1.nowNanos()));
    assertRefused(router1, 1, ErrorCode.CLAIM_UNAVAILABLE);
    router1.begin(2);
    assertRefused(router1, 2, ErrorCode.CLAIM_UNAVAILABLE);
    log.append(append.data());
    router1.advance(100);
    router1.read();
    router1.appendAll();
    assertThat(router1.grantedCalls()).isEmpty();
    router2.beginAppendAndRead(3);
    assertThat(router2.grantedCalls()).containsExactly(3L);
  }

  /** Guards against a router that is cut off from the log keeping its callers waiting. */
  @Test
  void missingReadsCountAsALogOutage() {
    router1.begin(1);
    router1.advance(2_001);
    assertRefused(router1, 1, ErrorCode.CLAIM_UNAVAILABLE);
  }

  /** Guards against a call waiting without limit when its claim is never read back. */
  @Test
  void unconfirmedClaimIsRefusedAtTheDeadline() {
    router1.begin(1);
    for (int i = 0; i < 5; i++) {
      router1.advance(1_000);
      router1.read();
    }
    assertRefused(router1, 1, ErrorCode.CLAIM_UNAVAILABLE);
  }

  /** Guards against running a call again after the response of its first run was lost. */
  @Test
  void lostResponseIsReportedAsUnknownToEveryCaller() {
    router1.beginAppendAndRead(1);
    router1.coordinator().tryMarkSent(1, router1.nowNanos());
    router2.read();
    router2.begin(2);
    router1.apply(router1.coordinator().recordResponseLost(1, router1.nowNanos()));
    router1.advance(20);
    router1.appendAll();
    router2.read();
    assertOutcomeUnknown(router1, 1);
    assertOutcomeUnknown(router2, 2);
    assertThat(router2.grantedCalls()).isEmpty();
  }

  /** Guards against a key staying claimed although its call certainly was not sent. */
  @Test
  void releasedKeyIsClaimedByTheNextCaller() {
    router1.beginAppendAndRead(1);
    router2.read();
    router2.begin(2);
    router1.apply(router1.coordinator().recordNotSent(1, NO_SERVER, router1.nowNanos()));
    router1.advance(20);
    router1.appendAll();
    router2.read();
    router2.appendAll();
    router2.read();
    assertRefused(router1, 1, ErrorCode.NO_SERVER);
    assertThat(router2.grantedCalls()).containsExactly(2L);
  }

  /**
   * Guards against a key that stays blocked forever: a copy of a claim that lost is appended after
   * the holder released the key, and would then win without a router that sends the call.
   */
  @Test
  void lateCopyOfALostClaimDoesNotWin() {
    router1.begin(1);
    ClaimDecision.AppendClaims append = router1.takeAppend();
    router2.beginAppendAndRead(2);
    log.append(append.data());
    router1.apply(router1.coordinator().recordAppendSuccess(append.appendId(), router1.nowNanos()));
    router1.read();
    router1.advance(20);
    router1.appendAll();
    router2.apply(router2.coordinator().recordNotSent(2, NO_SERVER, router2.nowNanos()));
    router2.advance(20);
    router2.appendAll();
    log.append(append.data());
    router1.read();
    router1.advance(20);
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
  }

  /** Guards against replying with the outcome of a request that had another body. */
  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    router1.beginAppendAndRead(1);
    router1.begin(2, START_MILLIS, new Digest256(9, 9, 9, 9));
    assertRefused(router1, 2, ErrorCode.IDEMPOTENCY_KEY_REUSED);
  }

  /** Guards against a second call with the key on the same router claiming or waiting forever. */
  @Test
  void secondCallerOfTheSameRouterReceivesTheOutcome() {
    router1.begin(1);
    router1.begin(2);
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
    router1.coordinator().tryMarkSent(1, router1.nowNanos());
    router1.apply(router1.coordinator().recordOutcome(1, OUTCOME, router1.nowNanos()));
    assertThat(router1.outcomeReplies()).hasSize(2);
    assertThat(router1.coordinator().openCallCount()).isZero();
  }

  /** Guards against a waiting call being forgotten when the claiming call is cancelled. */
  @Test
  void waitingCallerClaimsWhenTheClaimingOneIsCancelled() {
    router1.begin(1);
    router1.begin(2);
    router1.apply(router1.coordinator().cancel(1, router1.nowNanos()));
    router1.appendAll();
    router1.advance(20);
    router1.appendAll();
    router1.read();
    router1.advance(20);
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(2L);
  }

  /** Guards against running an old key again after its records were dropped from the log. */
  @Test
  void oldKeyIsRefusedAfterRetention() {
    router1.beginAppendAndRead(1);
    log.timeMillis(START_MILLIS + 50 * 60_000);
    log.append(new byte[0]);
    log.truncate(1);
    ClaimHarness router3 = new ClaimHarness(log, "router-3", 1);
    router3.begin(5);
    assertRefused(router3, 5, ErrorCode.INVALID_IDEMPOTENCY_KEY);
    router3.begin(6, log.timeMillis(), BODY_DIGEST);
    assertRefused(router3, 6, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /**
   * Guards against accepting a claim while the log keeps entries for less than twice the window,
   * and against refusing one when the dropped entries are old enough.
   */
  @Test
  void tooShortRetentionRefusesClaims() {
    for (int minute = 1; minute <= 29; minute++) {
      log.timeMillis(START_MILLIS + minute * 60_000L);
      log.append(new byte[0]);
      router1.read();
    }
    log.dropEntriesOlderThan(START_MILLIS + 1);
    router1.read();
    router1.begin(5, log.timeMillis(), BODY_DIGEST);
    assertRefused(router1, 5, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
    log.timeMillis(START_MILLIS + 30 * 60_000L);
    log.append(new byte[0]);
    router1.read();
    router1.begin(6, log.timeMillis(), BODY_DIGEST);
    assertThat(router1.findError(6)).isEmpty();
  }

  /**
   * Guards against a claim winning although the log dropped earlier entries before they were read.
   */
  @Test
  void gapInTheLogRefusesThePendingClaim() {
    router1.begin(1);
    router1.appendAll();
    router2.beginAppendAndRead(2);
    log.truncate(0);
    log.append(new byte[0]);
    router1.read();
    assertRefused(router1, 1, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /**
   * Guards against a claim winning only because the full table dropped an earlier claim of the key.
   */
  @Test
  void winAfterAnEarlierClaimWasDroppedIsRefused() {
    ClaimSettings smallTable =
        new ClaimSettings(
            900_000,
            60_000,
            10_000 * NANOS_PER_MILLI,
            NANOS_PER_MILLI,
            NANOS_PER_MILLI,
            2_000 * NANOS_PER_MILLI,
            3 * ClaimTable.ENTRY_BYTES,
            9);
    ClaimHarness router3 = new ClaimHarness(log, "router-3", 1, smallTable);
    router3.begin(1);
    router2.begin(2);
    router2.appendAll();
    for (int i = 1; i <= 4; i++) {
      ClaimCall call =
          new ClaimCall(
              10 + i,
              new Digest256(i, i, i, i),
              START_MILLIS + i,
              BODY_DIGEST,
              9_000 * NANOS_PER_MILLI);
      router2.apply(router2.coordinator().begin(call, router2.nowNanos()));
      router2.advance(20);
      router2.appendAll();
    }
    router3.appendAll();
    router3.read();
    assertThat(router3.grantedCalls()).isEmpty();
    assertRefused(router3, 1, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /** Guards against a claim winning that is appended an hour late. */
  @Test
  void claimThatTakesEffectLateIsOutOfWindow() {
    router1.begin(1);
    ClaimDecision.AppendClaims append = router1.takeAppend();
    log.timeMillis(START_MILLIS + 3_600_000);
    log.append(append.data());
    router1.read();
    assertRefused(router1, 1, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /**
   * Guards against refusing a new key as too far in the future because the log is idle and its
   * newest time is old.
   */
  @Test
  void timeMarkIsAppendedBeforeANewKeyIsEvaluated() {
    router1.advance(600_000);
    router1.read();
    router1.begin(1, START_MILLIS + 600_000, BODY_DIGEST);
    assertThat(router1.findError(1)).isEmpty();
    router1.appendAll();
    router1.read();
    router1.advance(20);
    router1.appendAll();
    router1.read();
    assertThat(router1.grantedCalls()).containsExactly(1L);
  }

  /**
   * Guards against accepting a key far in the future, whose window would end after the retention.
   */
  @Test
  void keyFarInTheFutureIsRefused() {
    router1.begin(1, START_MILLIS + 61_000, BODY_DIGEST);
    router1.appendAll();
    for (int i = 0; i < 5; i++) {
      router1.read();
      router1.advance(1_000);
    }
    assertRefused(router1, 1, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /** Guards against a read that arrives late being taken as evidence that the log is available. */
  @Test
  void lateReadIsIgnored() {
    var lateRead = log.read(0, 100);
    router1.beginAppendAndRead(1);
    long position = router1.coordinator().nextOffset();
    router1.advance(1_500);
    router1.apply(router1.coordinator().applyRead(lateRead, router1.nowNanos()));
    assertThat(router1.coordinator().nextOffset()).isEqualTo(position);
    router1.advance(600);
    assertThat(router1.grantedCalls()).containsExactly(1L);
    ClaimCall other =
        new ClaimCall(
            3, new Digest256(9, 9, 9, 9), START_MILLIS, BODY_DIGEST, 9_000 * NANOS_PER_MILLI);
    router1.apply(router1.coordinator().begin(other, router1.nowNanos()));
    assertRefused(router1, 3, ErrorCode.CLAIM_UNAVAILABLE);
  }
}

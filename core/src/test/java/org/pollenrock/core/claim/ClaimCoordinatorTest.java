package org.pollenrock.core.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.claim.ClaimHarness.BODY;
import static org.pollenrock.core.claim.ClaimHarness.MILLI;
import static org.pollenrock.core.claim.ClaimHarness.NO_SERVER;
import static org.pollenrock.core.claim.ClaimHarness.START_MILLIS;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.record.InMemoryLog;

class ClaimCoordinatorTest {
  private static final CallOutcome OUTCOME = CallOutcome.of(201, "text/plain", new byte[] {7});

  private final InMemoryLog log = ClaimHarness.newLog();
  private final ClaimHarness first = new ClaimHarness(log, "router-1", 1);
  private final ClaimHarness second = new ClaimHarness(log, "router-2", 1);

  private static void assertRefused(ClaimHarness router, long callId, ErrorCode code) {
    RequestError error = router.error(callId).orElseThrow();
    assertThat(error.code()).isEqualTo(code);
    assertThat(error.runState()).isEqualTo(RunState.NOT_RUN);
  }

  private static void assertUnknown(ClaimHarness router, long callId) {
    assertThat(router.error(callId).orElseThrow().runState()).isEqualTo(RunState.UNKNOWN);
  }

  /** Guards against two winners, and against a loser that never learns the outcome. */
  @Test
  void twoRoutersClaimAndTheFirstInTheLogRuns() {
    first.begin(1);
    second.begin(2);
    second.append();
    first.append();
    first.read();
    second.read();
    assertThat(first.granted()).isEmpty();
    assertThat(second.granted()).containsExactly(2L);
    assertThat(second.coordinator().tryMarkSent(2, second.now())).isTrue();
    assertThat(second.coordinator().tryMarkSent(2, second.now())).as("sent twice").isFalse();
    second.accept(second.coordinator().recordOutcome(2, OUTCOME, second.now()));
    second.advance(20);
    second.append();
    first.read();
    assertThat(first.outcomes().getFirst().outcome().status()).isEqualTo(201);
    assertThat(second.outcomes()).hasSize(1);
  }

  /** Guards against a claim that is given up or made twice when only its response was lost. */
  @Test
  void lostAppendResponseIsResolvedByReading() {
    first.begin(1);
    ClaimDecision.AppendClaims append = first.takeAppend();
    log.append(append.data());
    first.accept(first.coordinator().recordUncertainAppend(append.appendId(), first.now()));
    first.read();
    assertThat(first.granted()).containsExactly(1L);
    first.advance(300);
    first.read();
    first.advance(300);
    assertThat(first.hasAppend()).as("nothing is repeated").isFalse();
  }

  /** Guards against a claim that is lost for good, and against a repeat that counts as a second. */
  @Test
  void appendWithoutEffectIsRepeatedAndItsLateCopyIsOneClaim() {
    first.begin(1);
    ClaimDecision.AppendClaims lost = first.takeAppend();
    first.accept(first.coordinator().recordUncertainAppend(lost.appendId(), first.now()));
    first.read();
    assertThat(first.hasAppend()).isFalse();
    first.advance(200);
    first.read();
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(1L);
    log.append(lost.data());
    first.read();
    assertThat(first.granted()).containsExactly(1L);
    second.read();
    assertThat(second.coordinator().table().size()).isEqualTo(1);
  }

  /** Guards against a refused append, for example over the rate limit, that is not repeated. */
  @Test
  void failedAppendIsRepeatedAfterBackoff() {
    first.begin(1);
    first.accept(
        first.coordinator().recordAppendFailure(first.takeAppend().appendId(), first.now()));
    assertThat(first.hasAppend()).isFalse();
    first.advance(10);
    assertThat(first.hasAppend()).isFalse();
    first.advance(10);
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(1L);
  }

  /** Guards against a claim of a crashed router that passes to another one or to its successor. */
  @Test
  void claimOfACrashedWinnerIsNeverSentByOthers() {
    first.claimAndRead(1);
    ClaimHarness successor = new ClaimHarness(log, "router-1", 2);
    successor.begin(3);
    second.read();
    second.begin(2);
    successor.advance(5_000);
    second.advance(5_000);
    assertThat(successor.granted()).isEmpty();
    assertThat(second.granted()).isEmpty();
    assertUnknown(successor, 3);
    assertUnknown(second, 2);
  }

  /** Guards against a call that is sent after its caller was told that it was not run. */
  @Test
  void winnerThatPausesForAnHourDoesNotSend() {
    first.claimAndRead(1);
    assertThat(first.granted()).containsExactly(1L);
    assertThat(first.coordinator().tryMarkSent(1, 3_600_000 * MILLI)).isFalse();
    first.advance(3_600_000);
    assertRefused(first, 1, ErrorCode.DEADLINE_UNREACHABLE);
    assertThat(first.coordinator().tryMarkSent(1, first.now())).isFalse();
    log.append(new byte[0]);
    second.read();
    second.begin(2);
    assertRefused(second, 2, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /** Guards against a claim without a log, and against one that is sent after the refusal. */
  @Test
  void logOutageRefusesAndTheClaimIsReleasedLater() {
    first.begin(1);
    ClaimDecision.AppendClaims append = first.takeAppend();
    first.accept(first.coordinator().recordUncertainAppend(append.appendId(), first.now()));
    first.accept(first.coordinator().markLogUnavailable(first.now()));
    assertRefused(first, 1, ErrorCode.CLAIM_UNAVAILABLE);
    first.begin(2);
    assertRefused(first, 2, ErrorCode.CLAIM_UNAVAILABLE);
    log.append(append.data());
    first.advance(100);
    first.read();
    first.append();
    assertThat(first.granted()).isEmpty();
    second.claimAndRead(3);
    assertThat(second.granted()).containsExactly(3L);
  }

  /** Guards against an isolated router that keeps callers waiting. */
  @Test
  void silenceOfTheLogCountsAsAnOutage() {
    first.begin(1);
    first.advance(2_001);
    assertRefused(first, 1, ErrorCode.CLAIM_UNAVAILABLE);
  }

  /** Guards against a wait without an end when a claim is never read back. */
  @Test
  void unconfirmedClaimIsRefusedAtTheDeadline() {
    first.begin(1);
    for (int i = 0; i < 5; i++) {
      first.advance(1_000);
      first.read();
    }
    assertRefused(first, 1, ErrorCode.CLAIM_UNAVAILABLE);
  }

  /** Guards against a second run after the response of the first was lost. */
  @Test
  void lostResponseIsUnknownForEveryCaller() {
    first.claimAndRead(1);
    first.coordinator().tryMarkSent(1, first.now());
    second.read();
    second.begin(2);
    first.accept(first.coordinator().recordResponseLost(1, first.now()));
    first.advance(20);
    first.append();
    second.read();
    assertUnknown(first, 1);
    assertUnknown(second, 2);
    assertThat(second.granted()).isEmpty();
  }

  /** Guards against a key that stays blocked although its call certainly did not leave. */
  @Test
  void releasedKeyIsClaimedByTheNextCaller() {
    first.claimAndRead(1);
    second.read();
    second.begin(2);
    first.accept(first.coordinator().recordNotSent(1, NO_SERVER, first.now()));
    first.advance(20);
    first.append();
    second.read();
    second.append();
    second.read();
    assertRefused(first, 1, ErrorCode.NO_SERVER);
    assertThat(second.granted()).containsExactly(2L);
  }

  /** Guards against a late copy of a lost claim that blocks a key for ever. */
  @Test
  void lateCopyOfALostClaimDoesNotWin() {
    first.begin(1);
    ClaimDecision.AppendClaims append = first.takeAppend();
    second.claimAndRead(2);
    log.append(append.data());
    first.accept(first.coordinator().recordAppendSuccess(append.appendId(), first.now()));
    first.read();
    first.advance(20);
    first.append();
    second.accept(second.coordinator().recordNotSent(2, NO_SERVER, second.now()));
    second.advance(20);
    second.append();
    log.append(append.data());
    first.read();
    first.advance(20);
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(1L);
  }

  /** Guards against an outcome that is given to a request with another body. */
  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    first.claimAndRead(1);
    first.begin(2, START_MILLIS, new Digest256(9, 9, 9, 9));
    assertRefused(first, 2, ErrorCode.IDEMPOTENCY_KEY_REUSED);
  }

  /** Guards against a second caller of the same router that claims or waits for ever. */
  @Test
  void secondCallerOfTheSameRouterReceivesTheOutcome() {
    first.begin(1);
    first.begin(2);
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(1L);
    first.coordinator().tryMarkSent(1, first.now());
    first.accept(first.coordinator().recordOutcome(1, OUTCOME, first.now()));
    assertThat(first.outcomes()).hasSize(2);
    assertThat(first.coordinator().openCallCount()).isZero();
  }

  /** Guards against a waiting caller that is forgotten when the claiming one goes away. */
  @Test
  void waitingCallerClaimsWhenTheClaimingOneIsCancelled() {
    first.begin(1);
    first.begin(2);
    first.accept(first.coordinator().cancel(1, first.now()));
    first.append();
    first.advance(20);
    first.append();
    first.read();
    first.advance(20);
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(2L);
  }

  /** Guards against a second run of an old key whose records left the log. */
  @Test
  void oldKeyIsRefusedAfterRetention() {
    first.claimAndRead(1);
    log.timeMillis(START_MILLIS + 50 * 60_000);
    log.append(new byte[0]);
    log.truncate(1);
    ClaimHarness late = new ClaimHarness(log, "router-3", 1);
    late.begin(5);
    assertRefused(late, 5, ErrorCode.INVALID_IDEMPOTENCY_KEY);
    late.begin(6, log.timeMillis(), BODY);
    assertRefused(late, 6, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /** Guards against a claim while the log keeps less than twice the window. */
  @Test
  void shortRetentionRefusesClaimsAndAQuietLogDoesNot() {
    for (int minute = 1; minute <= 29; minute++) {
      log.timeMillis(START_MILLIS + minute * 60_000L);
      log.append(new byte[0]);
      first.read();
    }
    log.dropEntriesOlderThan(START_MILLIS + 1);
    first.read();
    first.begin(5, log.timeMillis(), BODY);
    assertRefused(first, 5, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
    log.timeMillis(START_MILLIS + 30 * 60_000L);
    log.append(new byte[0]);
    first.read();
    first.begin(6, log.timeMillis(), BODY);
    assertThat(first.error(6)).isEmpty();
  }

  /** Guards against a claim that wins although entries before it were dropped unread. */
  @Test
  void gapInTheLogRefusesTheClaimInProgress() {
    first.begin(1);
    first.append();
    second.claimAndRead(2);
    log.truncate(0);
    log.append(new byte[0]);
    first.read();
    assertRefused(first, 1, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /** Guards against a win that only stands because the table dropped an earlier claim. */
  @Test
  void winAfterAnEarlierClaimWasDroppedIsRefused() {
    ClaimSettings small =
        new ClaimSettings(
            900_000,
            60_000,
            10_000 * MILLI,
            MILLI,
            MILLI,
            2_000 * MILLI,
            3 * ClaimTable.ENTRY_BYTES,
            9);
    ClaimHarness bounded = new ClaimHarness(log, "router-3", 1, small);
    bounded.begin(1);
    second.begin(2);
    second.append();
    for (int i = 1; i <= 4; i++) {
      ClaimCall call =
          new ClaimCall(10 + i, new Digest256(i, i, i, i), START_MILLIS + i, BODY, 9_000 * MILLI);
      second.accept(second.coordinator().begin(call, second.now()));
      second.advance(20);
      second.append();
    }
    bounded.append();
    bounded.read();
    assertThat(bounded.granted()).isEmpty();
    assertRefused(bounded, 1, ErrorCode.CLAIM_HISTORY_INCOMPLETE);
  }

  /** Guards against a claim that takes effect an hour late and wins then. */
  @Test
  void claimThatTakesEffectLateIsOutOfWindow() {
    first.begin(1);
    ClaimDecision.AppendClaims append = first.takeAppend();
    log.timeMillis(START_MILLIS + 3_600_000);
    log.append(append.data());
    first.read();
    assertRefused(first, 1, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /** Guards against fresh keys that an idle log makes look as if they came from the future. */
  @Test
  void idleLogIsMarkedBeforeAFreshKeyIsJudged() {
    first.advance(600_000);
    first.read();
    first.begin(1, START_MILLIS + 600_000, BODY);
    assertThat(first.error(1)).isEmpty();
    first.append();
    first.read();
    first.advance(20);
    first.append();
    first.read();
    assertThat(first.granted()).containsExactly(1L);
  }

  /** Guards against a key of the far future, whose window would outlive the log. */
  @Test
  void keyOfTheFutureIsRefusedWhenTheLogDoesNotReachIt() {
    first.begin(1, START_MILLIS + 61_000, BODY);
    first.append();
    for (int i = 0; i < 5; i++) {
      first.read();
      first.advance(1_000);
    }
    assertRefused(first, 1, ErrorCode.INVALID_IDEMPOTENCY_KEY);
  }

  /** Guards against an old read that arrives late and passes for a sign of life of the log. */
  @Test
  void lateReadIsIgnored() {
    var late = log.read(0, 100);
    first.claimAndRead(1);
    long position = first.coordinator().nextOffset();
    first.advance(1_500);
    first.accept(first.coordinator().applyRead(late, first.now()));
    assertThat(first.coordinator().nextOffset()).isEqualTo(position);
    first.advance(600);
    assertThat(first.granted()).containsExactly(1L);
    ClaimCall other =
        new ClaimCall(3, new Digest256(9, 9, 9, 9), START_MILLIS, BODY, 9_000 * MILLI);
    first.accept(first.coordinator().begin(other, first.now()));
    assertRefused(first, 3, ErrorCode.CLAIM_UNAVAILABLE);
  }
}

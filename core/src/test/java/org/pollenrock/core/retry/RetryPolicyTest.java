package org.pollenrock.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.CustomerId;

/** Guards against repeated non-idempotent calls, retry storms and errors with a wrong run state. */
class RetryPolicyTest {
  private static final CustomerId ALPHA = new CustomerId("alpha");
  private static final CustomerId BETA = new CustomerId("beta");
  private static final Peer PEER = new Peer(Peer.Kind.ENGINE, "a");
  private static final long SECOND = 1_000_000_000L;

  private final RetryBudget budget = new RetryBudget(new RetryBudgetSettings(10, 3, 100, 2));
  private final RetryPolicy policy =
      new RetryPolicy(3, new Backoff(1_000_000, 16_000_000, new SplittableRandom(5)), budget);

  private static FailedAttempt connectionLost(
      RunState state, boolean bytesMayHaveBeenSent, long tokens) {
    return new FailedAttempt(
        FailureKind.CONNECTION_LOST, PEER, state, bytesMayHaveBeenSent, tokens);
  }

  private static CallProgress call(boolean idempotent, int attempts, RunState earlier) {
    return new CallProgress(ALPHA, idempotent, attempts, earlier, SECOND);
  }

  private RequestError error(FailedAttempt failed, CallProgress call) {
    RetryDecision decision = policy.decide(failed, call, 1_000_000);
    assertThat(decision).isInstanceOf(RetryDecision.GiveUp.class);
    return ((RetryDecision.GiveUp) decision).error();
  }

  @Test
  void nonIdempotentCallIsNotRetriedAfterBytesMayHaveBeenSent() {
    RequestError error =
        error(connectionLost(RunState.UNKNOWN, true, 0), call(false, 1, RunState.NOT_RUN));
    assertThat(error.runState()).isEqualTo(RunState.UNKNOWN);
    assertThat(error.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    FailedAttempt refused =
        new FailedAttempt(FailureKind.REFUSED_LEAVING, PEER, RunState.NOT_RUN, true, 0);
    assertThat(error(refused, call(false, 1, RunState.NOT_RUN)))
        .isInstanceOf(RequestError.Refusal.class);
    FailedAttempt unsent =
        new FailedAttempt(FailureKind.CONNECT_FAILED, PEER, RunState.NOT_RUN, false, 0);
    assertThat(policy.decide(unsent, call(false, 1, RunState.NOT_RUN), 0))
        .isInstanceOf(RetryDecision.RetryAfter.class);
  }

  @Test
  void errorCoversTheRunStatesOfAllAttempts() {
    FailedAttempt refused =
        new FailedAttempt(FailureKind.REFUSED_BUSY, PEER, RunState.NOT_RUN, true, 0);
    assertThat(error(refused, call(true, 3, RunState.UNKNOWN)).runState())
        .isEqualTo(RunState.UNKNOWN);
    assertThat(error(refused, call(true, 3, RunState.RAN)).runState()).isEqualTo(RunState.RAN);
    assertThat(error(refused, call(true, 3, RunState.NOT_RUN)).runState())
        .isEqualTo(RunState.NOT_RUN);
    FailedAttempt mismatched =
        new FailedAttempt(FailureKind.ANSWER_MISMATCH, PEER, RunState.UNKNOWN, true, 0);
    assertThat(error(mismatched, call(true, 3, RunState.NOT_RUN)).step()).isEqualTo(Step.VERIFY);
    assertThat(RetryPolicy.combineRunStates(RunState.UNKNOWN, RunState.RAN))
        .isEqualTo(RunState.RAN);
  }

  @Test
  void brokenStreamIsResumedWithoutBudgetChargeUntilItsDeadline() {
    long before = budget.availableRetries(ALPHA);
    assertThat(
            policy.decide(
                connectionLost(RunState.RAN, true, 12), call(true, 1, RunState.NOT_RUN), 0))
        .isEqualTo(new RetryDecision.Resume(12));
    assertThat(budget.availableRetries(ALPHA)).isEqualTo(before);
    CallProgress pastDeadline = new CallProgress(ALPHA, true, 1, RunState.NOT_RUN, 0);
    RequestError error = error(connectionLost(RunState.RAN, true, 12), pastDeadline);
    assertThat(error.code()).isEqualTo(ErrorCode.STREAM_INTERRUPTED);
    assertThat(error.step()).isEqualTo(Step.RELAY);
  }

  @Test
  void givesUpOnInvalidRequestOrCloseDeadlineOrExhaustedBudget() {
    FailedAttempt invalid =
        new FailedAttempt(FailureKind.REFUSED_INVALID, PEER, RunState.NOT_RUN, true, 0);
    assertThat(error(invalid, call(true, 1, RunState.NOT_RUN)).code())
        .isEqualTo(ErrorCode.MALFORMED_REQUEST);
    CallProgress nearDeadline = new CallProgress(ALPHA, true, 1, RunState.NOT_RUN, 1_000_000);
    assertThat(error(connectionLost(RunState.UNKNOWN, true, 0), nearDeadline).code())
        .isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
    while (budget.trySpendRetry(ALPHA)) {
      assertThat(budget.availableRetries(ALPHA)).isNotNegative();
    }
    assertThat(
            error(connectionLost(RunState.UNKNOWN, true, 0), call(true, 1, RunState.NOT_RUN))
                .message())
        .contains("budget");
  }

  @Test
  void customerWithFailingRequestsDoesNotUseRetriesOfOtherCustomers() {
    RetryBudget sharedBudget = new RetryBudget(new RetryBudgetSettings(10, 3, 100, 2));
    for (int i = 0; i < 100; i++) {
      sharedBudget.recordFirstAttempt(BETA);
    }
    assertThat(
            sharedBudget.trySpendRetry(ALPHA)
                && sharedBudget.trySpendRetry(ALPHA)
                && sharedBudget.trySpendRetry(ALPHA))
        .isTrue();
    assertThat(sharedBudget.trySpendRetry(ALPHA)).isFalse();
    assertThat(sharedBudget.availableRetries(BETA)).isEqualTo(10);
    sharedBudget.recordFirstAttempt(new CustomerId("gamma"));
    assertThat(sharedBudget.size()).isEqualTo(2);
  }

  /** Operations 0 to 2 are first attempts and 3 to 5 are retries of three customers. */
  @Property(seed = "4105", tries = 2_000, shrinking = ShrinkingMode.BOUNDED)
  void retriesNeverExceedTheRatioOfFirstAttempts(
      @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 5) Integer> operations) {
    RetryBudget testedBudget = new RetryBudget(new RetryBudgetSettings(10, 3, 50, 4));
    int first = 0;
    int retries = 0;
    for (int operation : operations) {
      CustomerId customer = new CustomerId("c" + operation % 3);
      if (operation < 3) {
        testedBudget.recordFirstAttempt(customer);
        first++;
      } else if (testedBudget.trySpendRetry(customer)) {
        retries++;
      }
      assertThat(retries * 10).isLessThanOrEqualTo(first + 30);
    }
  }

  @Test
  void backoffGrowsWithinItsBoundsAndNeverOverflows() {
    Backoff backoff = new Backoff(1_000, Long.MAX_VALUE / 2, new SplittableRandom(6));
    for (int retry = 1; retry < 200; retry++) {
      long ceiling = retry < 40 ? 1_000L << (retry - 1) : Long.MAX_VALUE / 2;
      assertThat(backoff.delayNanos(retry))
          .isBetween(retry < 40 ? ceiling / 2 : 0, Math.min(ceiling, Long.MAX_VALUE / 2));
    }
  }
}

package org.pollenrock.core.retry;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;

/**
 * Decides how to proceed after a failed attempt.
 *
 * <p>A non-idempotent call is attempted again only if no byte of it can have been sent. A broken
 * stream is resumed without a charge to the retry budget: it continues work that was already
 * admitted, and a charge would interrupt most streams of a crashed server.
 */
public final class RetryPolicy {
  private final int maxAttempts;
  private final Backoff backoff;
  private final RetryBudget budget;

  /**
   * Creates a policy.
   *
   * @param maxAttempts maximum number of attempts of one call, including the first
   * @param backoff source of the delays between attempts
   * @param budget budget that each retry is charged to
   * @throws IllegalArgumentException if {@code maxAttempts} is not positive
   */
  public RetryPolicy(int maxAttempts, Backoff backoff, RetryBudget budget) {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be positive: " + maxAttempts);
    }
    this.maxAttempts = maxAttempts;
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.budget = Objects.requireNonNull(budget, "budget");
  }

  /**
   * Decides how to proceed after a failed attempt. If the decision is to retry, the retry is
   * already charged to the budget.
   *
   * @param failed the failed attempt
   * @param call the call that the attempt belongs to
   * @param minServiceNanos minimum time that another attempt needs, in nanoseconds
   * @return the decision to retry, resume or give up
   */
  public RetryDecision decide(FailedAttempt failed, CallProgress call, long minServiceNanos) {
    if (!failed.kind().isRetryable()) {
      return giveUp(failed, call, failed.kind().code(), "the request was refused as invalid");
    }
    if (!call.idempotent() && failed.bytesMayHaveBeenSent()) {
      return giveUp(failed, call, failed.kind().code(), "a non-idempotent call is sent once");
    }
    if (call.attempts() >= maxAttempts) {
      return giveUp(failed, call, failed.kind().code(), "no attempt remains");
    }
    if (failed.tokensRelayed() > 0) {
      return resume(failed, call);
    }
    long delay = backoff.delayNanos(call.attempts());
    if (call.remainingNanos() < delay + minServiceNanos) {
      return giveUp(failed, call, ErrorCode.DEADLINE_UNREACHABLE, "the deadline is too close");
    }
    if (!budget.trySpendRetry(call.customer())) {
      return giveUp(failed, call, failed.kind().code(), "the retry budget is used up");
    }
    return new RetryDecision.RetryAfter(delay);
  }

  /**
   * Combines the run states of two attempts of one call.
   *
   * @param first run state of one attempt
   * @param second run state of the other attempt
   * @return {@code RAN} if either ran, else {@code UNKNOWN} if either is unknown, else {@code
   *     NOT_RUN}
   */
  public static RunState combineRunStates(RunState first, RunState second) {
    if (first == RunState.RAN || second == RunState.RAN) {
      return RunState.RAN;
    }
    return first == RunState.NOT_RUN ? second : first;
  }

  private static RetryDecision resume(FailedAttempt failed, CallProgress call) {
    if (call.remainingNanos() <= 0) {
      return giveUp(failed, call, ErrorCode.STREAM_INTERRUPTED, "the deadline has passed");
    }
    return new RetryDecision.Resume(failed.tokensRelayed());
  }

  private static RetryDecision giveUp(
      FailedAttempt failed, CallProgress call, ErrorCode code, String reason) {
    String message = "Attempt " + call.attempts() + " failed (" + failed.kind() + ") and " + reason;
    var peer = Optional.of(failed.peer());
    Step step = failedStep(failed);
    RunState runState = combineRunStates(call.earlierRunState(), failed.runState());
    RequestError error =
        switch (runState) {
          case NOT_RUN -> new RequestError.Refusal(code, step, peer, message);
          case RAN -> new RequestError.AfterRun(codeIfRun(failed, code), step, peer, message);
          case UNKNOWN ->
              new RequestError.Uncertain(codeIfUnknown(call, code), step, peer, message);
        };
    return new RetryDecision.GiveUp(error);
  }

  private static Step failedStep(FailedAttempt failed) {
    if (failed.tokensRelayed() > 0) {
      return Step.RELAY;
    }
    return failed.kind() == FailureKind.ANSWER_MISMATCH ? Step.VERIFY : Step.SEND;
  }

  private static ErrorCode codeIfRun(FailedAttempt failed, ErrorCode code) {
    return failed.tokensRelayed() > 0 ? ErrorCode.STREAM_INTERRUPTED : code;
  }

  // A caller may safely repeat an idempotent call, so it gets the code of the failure instead of
  // OUTCOME_UNKNOWN.
  private static ErrorCode codeIfUnknown(CallProgress call, ErrorCode code) {
    return call.idempotent() ? code : ErrorCode.OUTCOME_UNKNOWN;
  }
}

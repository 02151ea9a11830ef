package org.pollenrock.core.retry;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;

/**
 * Decides what follows a failed attempt.
 *
 * <p>A non-idempotent call is repeated only when no byte of it can have left this router. A broken
 * stream is resumed without charge to the budget: it goes on with work that was admitted once,
 * whereas a charge would interrupt most streams of a crashed server.
 */
public final class RetryPolicy {
  private final int maxAttempts;
  private final Backoff backoff;
  private final RetryBudget budget;

  /**
   * Creates a policy.
   *
   * @param maxAttempts most attempts of one call, the first included
   * @param backoff delays between attempts
   * @param budget pays for each retry
   * @throws IllegalArgumentException when no attempt is allowed
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
   * Decides what follows a failed attempt; a retry is paid for at once.
   *
   * @param failed the attempt
   * @param call the call that it was made for
   * @param minServiceNanos least time that another attempt needs
   * @return retry, resume or give up
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
   * Joins what is known of the execution of two attempts of one call.
   *
   * @param first one attempt
   * @param second the other attempt
   * @return ran when either ran, else unknown when either is unknown, else not run
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

  // A caller may repeat an idempotent call, so it is told what failed rather than that the
  // outcome is unknown.
  private static ErrorCode codeIfUnknown(CallProgress call, ErrorCode code) {
    return call.idempotent() ? code : ErrorCode.OUTCOME_UNKNOWN;
  }
}

package org.pollenrock.core.claim;

import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;

/** Creates the errors that a call with an idempotency key can receive in the claim step. */
final class ClaimErrors {
  private static final Optional<Peer> LOG = Optional.of(new Peer(Peer.Kind.LOG, "claims"));

  private ClaimErrors() {}

  static RequestError logUnavailable() {
    return refusal(
        ErrorCode.CLAIM_UNAVAILABLE, "The log is unavailable; this request was not run.");
  }

  static RequestError notConfirmed() {
    return refusal(
        ErrorCode.CLAIM_UNAVAILABLE,
        "The claim was not confirmed in time; this request was not run.");
  }

  static RequestError tooManyPending() {
    return refusal(
        ErrorCode.CLAIM_UNAVAILABLE, "Too many claims are pending; this request was not run.");
  }

  static RequestError keyOutOfWindow() {
    return refusal(
        ErrorCode.INVALID_IDEMPOTENCY_KEY,
        "The key's time lies outside the key window; this request was not run, an earlier one with"
            + " the key may have been.");
  }

  static RequestError keyReused() {
    return refusal(
        ErrorCode.IDEMPOTENCY_KEY_REUSED,
        "The key was used with another body; this request was not run.");
  }

  static RequestError historyIncomplete() {
    return refusal(
        ErrorCode.CLAIM_HISTORY_INCOMPLETE,
        "Claims as old as the key are not all known; this request was not run.");
  }

  static RequestError deadlinePassed() {
    return refusal(
        ErrorCode.DEADLINE_UNREACHABLE,
        "The deadline passed before the request was sent; it was not run.");
  }

  static RequestError outcomeUnknown() {
    return new RequestError.Uncertain(
        ErrorCode.OUTCOME_UNKNOWN,
        Step.CLAIM,
        Optional.empty(),
        "A request with this key may have run; its outcome is not known.");
  }

  static RequestError outcomeNotKept() {
    return new RequestError.AfterRun(
        ErrorCode.OUTCOME_NOT_KEPT,
        Step.CLAIM,
        Optional.empty(),
        "The request ran; its outcome is no longer kept.");
  }

  private static RequestError refusal(ErrorCode code, String message) {
    return new RequestError.Refusal(code, Step.CLAIM, LOG, message);
  }
}

package org.pollenrock.core.claim;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** What the router must do next for its non-idempotent calls. */
public sealed interface ClaimDecision {
  /**
   * Append bytes to the claim stream and report the result under the number.
   *
   * @param appendId number of the append
   * @param data the bytes
   */
  record AppendClaims(long appendId, byte[] data) implements ClaimDecision {
    /** Checks that the data is present. */
    public AppendClaims {
      Objects.requireNonNull(data, "data");
    }
  }

  /**
   * Run the call: ask {@link ClaimCoordinator#tryMarkSent} directly before the first byte leaves.
   *
   * @param callId number of the call
   * @param claim the claim that won
   */
  record SendNow(long callId, ClaimId claim) implements ClaimDecision {
    /** Checks that the claim is present. */
    public SendNow {
      Objects.requireNonNull(claim, "claim");
    }
  }

  /**
   * Answer the caller with the outcome of the run.
   *
   * @param callId number of the call
   * @param outcome the outcome
   */
  record ReplyOutcome(long callId, CallOutcome outcome) implements ClaimDecision {
    /** Checks that the outcome is present. */
    public ReplyOutcome {
      Objects.requireNonNull(outcome, "outcome");
    }
  }

  /**
   * Answer the caller with an error.
   *
   * @param callId number of the call
   * @param error the error
   */
  record ReplyError(long callId, RequestError error) implements ClaimDecision {
    /** Checks that the error is present. */
    public ReplyError {
      Objects.requireNonNull(error, "error");
    }
  }

  /**
   * Call {@link ClaimCoordinator#tick} at this time; a later decision replaces it.
   *
   * @param nanos the time
   */
  record WakeAt(long nanos) implements ClaimDecision {}
}

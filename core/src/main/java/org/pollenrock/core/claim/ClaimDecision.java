package org.pollenrock.core.claim;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** Action that the router must carry out for its non-idempotent calls. */
public sealed interface ClaimDecision {
  /**
   * Append a batch to the claim stream and report the result to the coordinator.
   *
   * @param appendId id of the append, with which its result is reported
   * @param data encoded batch
   */
  record AppendClaims(long appendId, byte[] data) implements ClaimDecision {
    /** Checks that the data is not null. */
    public AppendClaims {
      Objects.requireNonNull(data, "data");
    }
  }

  /**
   * Send the call to the service. {@link ClaimCoordinator#tryMarkSent} must allow it directly
   * before the first byte is sent.
   *
   * @param callId id of the call
   * @param claim id of the claim that won
   */
  record SendNow(long callId, ClaimId claim) implements ClaimDecision {
    /** Checks that the claim is not null. */
    public SendNow {
      Objects.requireNonNull(claim, "claim");
    }
  }

  /**
   * Reply to the caller with the recorded response of the service.
   *
   * @param callId id of the call
   * @param outcome response of the service
   */
  record ReplyOutcome(long callId, CallOutcome outcome) implements ClaimDecision {
    /** Checks that the outcome is not null. */
    public ReplyOutcome {
      Objects.requireNonNull(outcome, "outcome");
    }
  }

  /**
   * Reply to the caller with an error.
   *
   * @param callId id of the call
   * @param error the error
   */
  record ReplyError(long callId, RequestError error) implements ClaimDecision {
    /** Checks that the error is not null. */
    public ReplyError {
      Objects.requireNonNull(error, "error");
    }
  }

  /**
   * Call {@link ClaimCoordinator#tick} at this time. A later decision of this type replaces it.
   *
   * @param nanos time of the monotonic clock, in nanoseconds
   */
  record WakeAt(long nanos) implements ClaimDecision {}
}

package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * State of a claimed key according to the log.
 *
 * @param state state of the key
 * @param holder id of the claim that holds the key
 * @param bodyDigest digest of the request body of the holder's call
 * @param outcome outcome of the call when the state is {@link State#COMPLETED}, otherwise null
 */
public record ClaimView(State state, ClaimId holder, Digest256 bodyDigest, CallOutcome outcome) {
  /** States of a claimed key. */
  public enum State {
    /** The holder may send the call, has sent it, or crashed. */
    HELD,
    /** The call ran and its outcome is recorded. */
    COMPLETED,
    /** The call was sent and its response was lost, so it may have run. */
    OUTCOME_UNKNOWN
  }

  /** Checks that state, holder and body digest are not null. */
  public ClaimView {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
  }
}

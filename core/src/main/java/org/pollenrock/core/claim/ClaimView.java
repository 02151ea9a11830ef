package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * What the log says about a key that was claimed.
 *
 * @param state state of the key
 * @param holder the claim that holds the key, or the last one that held it
 * @param bodyDigest digest of the body that the holder claimed with
 * @param outcome outcome when the state is {@link State#COMPLETED}, otherwise null
 */
public record ClaimView(State state, ClaimId holder, Digest256 bodyDigest, CallOutcome outcome) {
  /** States of a key that was claimed. */
  public enum State {
    /** The holder may run the call, is running it, or crashed. */
    HELD,
    /** The call ran. */
    COMPLETED,
    /** The call was sent and its response was lost. */
    OUTCOME_UNKNOWN
  }

  /** Checks that state, holder and body are present. */
  public ClaimView {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
  }
}

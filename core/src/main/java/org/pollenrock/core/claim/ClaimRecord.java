package org.pollenrock.core.claim;

import java.util.Objects;
import java.util.Optional;

/** One record of the claim stream. */
public sealed interface ClaimRecord {
  /**
   * The claim that the record makes or is about.
   *
   * @return its id
   */
  ClaimId claim();

  /**
   * The key that the record is about.
   *
   * @return empty for a time mark
   */
  default Optional<Digest256> keyDigest() {
    return switch (this) {
      case Claimed claimed -> Optional.of(claimed.key());
      case Released released -> Optional.of(released.key());
      case Completed settled -> Optional.of(settled.key());
      case OutcomeUnknown unknown -> Optional.of(unknown.key());
      case TimeMark mark -> Optional.empty();
    };
  }

  /**
   * A router wants to run the call of a key.
   *
   * @param claim identity of the claim
   * @param key digest of scope and key
   * @param bodyDigest digest of the request body
   * @param keyTimeMillis time embedded in the key
   */
  record Claimed(ClaimId claim, Digest256 key, Digest256 bodyDigest, long keyTimeMillis)
      implements ClaimRecord {
    /** Checks that all parts are present. */
    public Claimed {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(bodyDigest, "bodyDigest");
    }
  }

  /**
   * The claimer did not send and never will; the key may be claimed again.
   *
   * @param claim identity of the claim
   * @param key digest of scope and key
   */
  record Released(ClaimId claim, Digest256 key) implements ClaimRecord {
    /** Checks that all parts are present. */
    public Released {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * The call ran.
   *
   * @param claim identity of the claim
   * @param key digest of scope and key
   * @param outcome what the service answered
   */
  record Completed(ClaimId claim, Digest256 key, CallOutcome outcome) implements ClaimRecord {
    /** Checks that all parts are present. */
    public Completed {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(outcome, "outcome");
    }
  }

  /**
   * The call was sent and its response was lost.
   *
   * @param claim identity of the claim
   * @param key digest of scope and key
   */
  record OutcomeUnknown(ClaimId claim, Digest256 key) implements ClaimRecord {
    /** Checks that all parts are present. */
    public OutcomeUnknown {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Makes the log report a new time while no other record is written.
   *
   * @param claim a number of its own, used to recognise the record
   */
  record TimeMark(ClaimId claim) implements ClaimRecord {
    /** Checks that the id is present. */
    public TimeMark {
      Objects.requireNonNull(claim, "claim");
    }
  }
}

package org.pollenrock.core.claim;

import java.util.Objects;
import java.util.Optional;

/** Record of the claim stream, the log stream that all routers write their claims to. */
public sealed interface ClaimRecord {
  /**
   * Returns the claim that this record makes or refers to.
   *
   * @return the id of the claim
   */
  ClaimId claim();

  /**
   * Returns the digest of the key that this record refers to.
   *
   * @return the digest, or empty for a time mark
   */
  default Optional<Digest256> keyDigest() {
    return switch (this) {
      case Claimed claimed -> Optional.of(claimed.key());
      case Released released -> Optional.of(released.key());
      case Completed completed -> Optional.of(completed.key());
      case OutcomeUnknown outcomeUnknown -> Optional.of(outcomeUnknown.key());
      case TimeMark timeMark -> Optional.empty();
    };
  }

  /**
   * Claims a key: a router wants to send the call with this key.
   *
   * @param claim id of the claim
   * @param key digest of customer, service and idempotency key
   * @param bodyDigest digest of the request body
   * @param keyTimeMillis time embedded in the idempotency key, milliseconds since 1970
   */
  record Claimed(ClaimId claim, Digest256 key, Digest256 bodyDigest, long keyTimeMillis)
      implements ClaimRecord {
    /** Checks that no component is null. */
    public Claimed {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(bodyDigest, "bodyDigest");
    }
  }

  /**
   * Releases a claim: the router did not send the call and never will under this claim, so the key
   * may be claimed again.
   *
   * @param claim id of the claim
   * @param key digest of customer, service and idempotency key
   */
  record Released(ClaimId claim, Digest256 key) implements ClaimRecord {
    /** Checks that no component is null. */
    public Released {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Records that the service ran the call, with its response.
   *
   * @param claim id of the claim
   * @param key digest of customer, service and idempotency key
   * @param outcome response of the service
   */
  record Completed(ClaimId claim, Digest256 key, CallOutcome outcome) implements ClaimRecord {
    /** Checks that no component is null. */
    public Completed {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(outcome, "outcome");
    }
  }

  /**
   * Records that the call was sent and its response was lost, so that the service may have run it.
   *
   * @param claim id of the claim
   * @param key digest of customer, service and idempotency key
   */
  record OutcomeUnknown(ClaimId claim, Digest256 key) implements ClaimRecord {
    /** Checks that no component is null. */
    public OutcomeUnknown {
      Objects.requireNonNull(claim, "claim");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Makes the log report a newer time when no other record is written.
   *
   * @param claim id that no claim uses; identifies this record when it is read back
   */
  record TimeMark(ClaimId claim) implements ClaimRecord {
    /** Checks that the id is not null. */
    public TimeMark {
      Objects.requireNonNull(claim, "claim");
    }
  }
}

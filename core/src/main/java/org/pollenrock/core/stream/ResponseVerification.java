package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/** Result of verifying the identity of a response before its first byte is relayed. */
public sealed interface ResponseVerification {
  /** The response belongs to the attempt and has the expected identity. */
  record Accepted() implements ResponseVerification {}

  /**
   * The response names another attempt or none. It must be dropped and its connection closed; the
   * run state of the attempt that was sent is unknown.
   *
   * @param echoed attempt named by the response; empty if it names none
   */
  record OtherAttempt(Optional<AttemptId> echoed) implements ResponseVerification {
    /** Checks that the component is not null. */
    public OtherAttempt {
      Objects.requireNonNull(echoed, "echoed");
    }
  }

  /**
   * The attempt ran on another incarnation of the server than the one it was placed on.
   *
   * @param actual incarnation that responded; empty if the server stated none
   */
  record OtherIncarnation(Optional<Incarnation> actual) implements ResponseVerification {
    /** Checks that the component is not null. */
    public OtherIncarnation {
      Objects.requireNonNull(actual, "actual");
    }
  }

  /**
   * The attempt was computed with another weights version than the one it was placed for.
   *
   * @param actual weights version that computed the response; empty if the server stated none
   */
  record OtherWeights(Optional<WeightsVersion> actual) implements ResponseVerification {
    /** Checks that the component is not null. */
    public OtherWeights {
      Objects.requireNonNull(actual, "actual");
    }
  }

  /**
   * Returns whether the response may be relayed.
   *
   * @return true only for an accepted response
   */
  default boolean canRelay() {
    return this instanceof Accepted;
  }
}

package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/** What to do with a response before its first byte is relayed. */
public sealed interface ResponseVerification {
  /** The response belongs to the attempt and has the expected identity. */
  record Accepted() implements ResponseVerification {}

  /**
   * The response belongs to no known or to another attempt. It must be dropped and its connection
   * closed; the run state of the own attempt is unknown.
   *
   * @param echoed the attempt it names, if any
   */
  record OtherAttempt(Optional<AttemptId> echoed) implements ResponseVerification {
    /** Checks that the part is present. */
    public OtherAttempt {
      Objects.requireNonNull(echoed, "echoed");
    }
  }

  /**
   * The own request ran on another incarnation of the server than the choice relied on.
   *
   * @param actual incarnation that answered; empty when the server stated none
   */
  record OtherIncarnation(Optional<Incarnation> actual) implements ResponseVerification {
    /** Checks that the part is present. */
    public OtherIncarnation {
      Objects.requireNonNull(actual, "actual");
    }
  }

  /**
   * The own request was computed under another weights version than the choice relied on.
   *
   * @param actual weights version that answered; empty when the server stated none
   */
  record OtherWeights(Optional<WeightsVersion> actual) implements ResponseVerification {
    /** Checks that the part is present. */
    public OtherWeights {
      Objects.requireNonNull(actual, "actual");
    }
  }

  /**
   * Whether the response may be relayed.
   *
   * @return true for an accepted response only
   */
  default boolean canRelay() {
    return this instanceof Accepted;
  }
}

package org.pollenrock.core.stream;

import java.util.Optional;

/** Compares the identity of a response with that of the attempt it should answer. */
public final class AnswerVerifier {
  /**
   * Verifies a response before its first byte is relayed.
   *
   * <p>An absent header counts as a mismatch wherever an identity is expected, because a response
   * that cannot be attributed may belong to another caller.
   *
   * @param expected identity that was sent with the attempt
   * @param actual identity that the response states
   * @return accepted, or the first part that differs
   */
  public AnswerVerdict verify(ExpectedAnswer expected, AnswerIdentity actual) {
    if (!actual.attempt().equals(Optional.of(expected.attempt()))) {
      return new AnswerVerdict.OtherAttempt(actual.attempt());
    }
    if (differs(expected.incarnation(), actual.incarnation())) {
      return new AnswerVerdict.OtherIncarnation(actual.incarnation());
    }
    if (differs(expected.weights(), actual.weights())) {
      return new AnswerVerdict.OtherWeights(actual.weights());
    }
    return new AnswerVerdict.Accepted();
  }

  private static <T> boolean differs(Optional<T> expected, Optional<T> actual) {
    return expected.isPresent() && !expected.equals(actual);
  }
}

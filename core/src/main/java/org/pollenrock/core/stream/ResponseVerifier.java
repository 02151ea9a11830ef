package org.pollenrock.core.stream;

import java.util.Optional;

/** Compares the identity of a response with that of the attempt it should answer. */
public final class ResponseVerifier {
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
  public ResponseVerification verify(ExpectedResponse expected, ResponseIdentity actual) {
    if (!actual.attempt().equals(Optional.of(expected.attempt()))) {
      return new ResponseVerification.OtherAttempt(actual.attempt());
    }
    if (isMismatch(expected.incarnation(), actual.incarnation())) {
      return new ResponseVerification.OtherIncarnation(actual.incarnation());
    }
    if (isMismatch(expected.weights(), actual.weights())) {
      return new ResponseVerification.OtherWeights(actual.weights());
    }
    return new ResponseVerification.Accepted();
  }

  private static <T> boolean isMismatch(Optional<T> expected, Optional<T> actual) {
    return expected.isPresent() && !expected.equals(actual);
  }
}

package org.pollenrock.core.stream;

import java.util.Optional;

/** Compares the identity of a response with the identity expected for its attempt. */
public final class ResponseVerifier {
  /**
   * Verifies a response before its first byte is relayed.
   *
   * <p>An absent header is a mismatch if a value is expected, because a response that cannot be
   * attributed to an attempt may belong to another caller.
   *
   * @param expected identity that the response must have
   * @param actual identity stated by the response
   * @return accepted, or the first mismatch in the order attempt, incarnation, weights
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

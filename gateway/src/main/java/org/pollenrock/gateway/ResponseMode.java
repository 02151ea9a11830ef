package org.pollenrock.gateway;

/** How a send handles the response; determined by its head. */
enum ResponseMode {
  /** The head has not arrived yet. */
  AWAITING,
  /** The server refused the request without running it. */
  REFUSED,
  /** Another server than the expected one runs at the address. */
  MISPLACED,
  /** The server has another version of the weights and did not run the request. */
  OTHER_WEIGHTS,
  /** The body is buffered until it is complete. */
  PLAIN,
  /** The body is passed to the owner as it arrives. */
  STREAM;

  /** Returns whether the body is that of an executed request. */
  boolean isPassedOn() {
    return this == PLAIN || this == STREAM;
  }

  /** Returns how the body of the response is used. */
  BodyUse bodyUse() {
    return switch (this) {
      case STREAM -> BodyUse.RELAYED;
      case AWAITING, PLAIN -> BodyUse.COLLECTED;
      case REFUSED, MISPLACED, OTHER_WEIGHTS -> BodyUse.IGNORED;
    };
  }
}

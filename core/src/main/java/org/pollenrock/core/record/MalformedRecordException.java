package org.pollenrock.core.record;

/** A payload does not hold the fields that its type requires; caught by the decoder. */
public final class MalformedRecordException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   */
  public MalformedRecordException(String message) {
    super(message);
  }
}

package org.pollenrock.core.record;

/**
 * Thrown when a payload does not contain the fields that the type of the record requires. The
 * decoder catches the exception and skips and counts the record.
 */
public final class MalformedRecordException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message description of the error
   */
  public MalformedRecordException(String message) {
    super(message);
  }
}

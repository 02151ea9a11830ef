package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * Response of a plain service to a non-idempotent call.
 *
 * @param status HTTP status
 * @param contentType value of the content type header, may be empty
 * @param body the body; empty when it is not kept
 * @param bodyKept false when the body was too long to record or was dropped
 */
public record CallOutcome(int status, String contentType, byte[] body, boolean bodyKept) {
  /** Longest body that a record keeps, in bytes. */
  public static final int MAX_BODY_BYTES = 4 * 1024;

  /** Longest content type that a record keeps, in characters. */
  public static final int MAX_CONTENT_TYPE_CHARS = 128;

  /** Checks that all parts are present. */
  public CallOutcome {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }

  /**
   * An outcome as received.
   *
   * @param status HTTP status
   * @param contentType value of the content type header, may be empty
   * @param body the body
   * @return the outcome with its body
   */
  public static CallOutcome of(int status, String contentType, byte[] body) {
    return new CallOutcome(status, contentType, body, true);
  }

  /**
   * The same outcome without its body.
   *
   * @return an outcome that says that the call ran
   */
  public CallOutcome withoutBody() {
    return new CallOutcome(status, contentType, new byte[0], false);
  }

  /**
   * Bounds the outcome for a record.
   *
   * @return this outcome, or one without the body when a bound is exceeded
   */
  CallOutcome bounded() {
    boolean fits = body.length <= MAX_BODY_BYTES && contentType.length() <= MAX_CONTENT_TYPE_CHARS;
    return fits ? this : new CallOutcome(status, "", new byte[0], false);
  }
}

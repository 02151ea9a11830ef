package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * Response of a plain service to a non-idempotent call, as it is recorded in the log.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header; may be empty
 * @param body response body; empty when it is not kept
 * @param bodyKept false when the body was too long to record or was dropped to save memory
 */
public record CallOutcome(int status, String contentType, byte[] body, boolean bodyKept) {
  /** Maximum length of a body in a claim record. */
  public static final int MAX_BODY_BYTES = 4 * 1024;

  /** Maximum length of a content type in a claim record. */
  public static final int MAX_CONTENT_TYPE_CHARS = 128;

  /** Checks that content type and body are not null. */
  public CallOutcome {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Creates an outcome from a received response, with its body.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header; may be empty
   * @param body response body
   * @return the outcome
   */
  public static CallOutcome of(int status, String contentType, byte[] body) {
    return new CallOutcome(status, contentType, body, true);
  }

  /**
   * Returns a copy of this outcome without its body.
   *
   * @return an outcome that still tells the status and content type of the response
   */
  public CallOutcome withoutBody() {
    return new CallOutcome(status, contentType, new byte[0], false);
  }

  /**
   * Returns the outcome in a form that fits a claim record.
   *
   * @return this outcome, or one without body and content type when either is too long
   */
  CallOutcome withinRecordLimits() {
    boolean fits = body.length <= MAX_BODY_BYTES && contentType.length() <= MAX_CONTENT_TYPE_CHARS;
    return fits ? this : new CallOutcome(status, "", new byte[0], false);
  }
}

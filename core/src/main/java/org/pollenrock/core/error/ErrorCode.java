package org.pollenrock.core.error;

import java.util.Locale;

/** Stable codes of the errors that callers see, with their HTTP status. */
public enum ErrorCode {
  /** The request breaks HTTP or the API schema. */
  MALFORMED_REQUEST(400, false),
  /** A header, line or body exceeds its bound. */
  REQUEST_TOO_LARGE(413, false),
  /** The caller sent its request too slowly. */
  REQUEST_TIMEOUT(408, true),
  /** The API key is missing or unknown. */
  UNAUTHENTICATED(401, false),
  /** No settings entry names the model. */
  UNKNOWN_MODEL(404, false),
  /** No API or service has this method and path. */
  UNKNOWN_ROUTE(404, false),
  /** The router has no accepted settings yet. */
  SETTINGS_UNAVAILABLE(503, true),
  /** A rate, concurrency or token limit is used up. */
  LIMIT_EXCEEDED(429, true),
  /** There is no capacity for this class of request now. */
  OVERLOADED(503, true),
  /** The deadline passed or cannot be met. */
  DEADLINE_UNREACHABLE(504, false),
  /** No live backend server can serve the request. */
  NO_SERVER(503, true),
  /** A backend server failed and no attempt remains. */
  SERVER_FAILED(502, true),
  /** A stream broke and could not be continued. */
  STREAM_INTERRUPTED(502, false),
  /** An answer did not belong to the request or to the expected server identity. */
  ANSWER_MISMATCH(502, true),
  /** The idempotency key is not time-ordered or lies outside the key window. */
  INVALID_IDEMPOTENCY_KEY(400, false),
  /** The idempotency key was used with another body. */
  IDEMPOTENCY_KEY_REUSED(422, false),
  /** The claim could not be made because the log cannot be reached. */
  CLAIM_UNAVAILABLE(503, true),
  /** The log has not been read back to the start of the key window. */
  CLAIM_HISTORY_INCOMPLETE(503, true),
  /** The call may have run and its outcome is not known. */
  OUTCOME_UNKNOWN(504, false),
  /** The call ran and its recorded outcome is no longer kept. */
  OUTCOME_NOT_KEPT(409, false),
  /** A fault of the router itself. */
  INTERNAL_ERROR(500, false);

  private final int httpStatus;
  private final boolean retryable;

  ErrorCode(int httpStatus, boolean retryable) {
    this.httpStatus = httpStatus;
    this.retryable = retryable;
  }

  /**
   * Name used in error bodies and metrics.
   *
   * @return the lower-case name
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * HTTP status for the caller.
   *
   * @return a status of class 4xx or 5xx
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Whether the same request may succeed later without a change.
   *
   * @return true when a retry makes sense
   */
  public boolean isRetryable() {
    return retryable;
  }
}

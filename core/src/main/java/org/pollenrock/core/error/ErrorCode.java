package org.pollenrock.core.error;

import java.util.Locale;

/** Stable codes of the errors that callers receive, with their HTTP status. */
public enum ErrorCode {
  /** The request violates HTTP or the API schema. */
  MALFORMED_REQUEST(400, false),
  /** A header, line or body exceeds its size limit. */
  REQUEST_TOO_LARGE(413, false),
  /** The caller sent its request too slowly. */
  REQUEST_TIMEOUT(408, true),
  /** The API key is missing or unknown. */
  UNAUTHENTICATED(401, false),
  /** The settings contain no such model. */
  UNKNOWN_MODEL(404, false),
  /** No API or service has this method and path. */
  UNKNOWN_ROUTE(404, false),
  /** The router has no accepted settings yet. */
  SETTINGS_UNAVAILABLE(503, true),
  /** A rate, concurrency or token limit is exhausted. */
  LIMIT_EXCEEDED(429, true),
  /** There is currently no capacity for the request. */
  OVERLOADED(503, true),
  /** The deadline passed or cannot be met. */
  DEADLINE_UNREACHABLE(504, false),
  /** No live backend server can serve the request. */
  NO_SERVER(503, true),
  /** A backend server failed and no further attempt is allowed. */
  SERVER_FAILED(502, true),
  /** A stream broke and could not be continued. */
  STREAM_INTERRUPTED(502, false),
  /** A response did not match the request or the expected server identity. */
  ANSWER_MISMATCH(502, true),
  /** The idempotency key is not time-ordered or is outside the time window of accepted keys. */
  INVALID_IDEMPOTENCY_KEY(400, false),
  /** The idempotency key was already used with another request body. */
  IDEMPOTENCY_KEY_REUSED(422, false),
  /** The call could not be claimed because the log is unreachable. */
  CLAIM_UNAVAILABLE(503, true),
  /** The log has not yet been read back to the start of the time window of accepted keys. */
  CLAIM_HISTORY_INCOMPLETE(503, true),
  /** The call may have run; its outcome is unknown. */
  OUTCOME_UNKNOWN(504, false),
  /** The call ran, but its recorded outcome is no longer stored. */
  OUTCOME_NOT_KEPT(409, false),
  /** An internal error of the router. */
  INTERNAL_ERROR(500, false);

  private final int httpStatus;
  private final boolean retryable;

  ErrorCode(int httpStatus, boolean retryable) {
    this.httpStatus = httpStatus;
    this.retryable = retryable;
  }

  /**
   * Returns the name used in error bodies and metrics.
   *
   * @return the lower-case name
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the HTTP status sent to the caller.
   *
   * @return a status of class 4xx or 5xx
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether the same request may succeed later without changes.
   *
   * @return true if a retry may succeed
   */
  public boolean isRetryable() {
    return retryable;
  }
}

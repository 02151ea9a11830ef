package org.pollenrock.core.retry;

import org.pollenrock.core.error.ErrorCode;

/** How an attempt failed. */
public enum FailureKind {
  /** No connection could be established. */
  CONNECT_FAILED(true, ErrorCode.SERVER_FAILED),
  /** The server refused because it leaves. */
  REFUSED_LEAVING(true, ErrorCode.NO_SERVER),
  /** The server refused because its incarnation or weights version differ. */
  REFUSED_IDENTITY(true, ErrorCode.ANSWER_MISMATCH),
  /** The server refused because it has no capacity. */
  REFUSED_BUSY(true, ErrorCode.OVERLOADED),
  /** The server refused the request itself; no server would accept it. */
  REFUSED_INVALID(false, ErrorCode.MALFORMED_REQUEST),
  /** The connection ended before the answer was complete. */
  CONNECTION_LOST(true, ErrorCode.SERVER_FAILED),
  /** A progress deadline passed. */
  TIMED_OUT(true, ErrorCode.SERVER_FAILED),
  /** The answer did not belong to the attempt. */
  ANSWER_MISMATCH(true, ErrorCode.ANSWER_MISMATCH),
  /** The server answered that it failed. */
  SERVER_ERROR(true, ErrorCode.SERVER_FAILED);

  private final boolean retryable;
  private final ErrorCode code;

  FailureKind(boolean retryable, ErrorCode code) {
    this.retryable = retryable;
    this.code = code;
  }

  /**
   * Whether another attempt could succeed.
   *
   * @return false when every server would give the same answer
   */
  public boolean isRetryable() {
    return retryable;
  }

  /**
   * Code for the caller when no attempt remains.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }
}

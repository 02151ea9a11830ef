package org.pollenrock.core.dispatch;

/** Next step after a failed send. */
public enum NextStep {
  /** Sends the complete request to another server. */
  RESEND,
  /** Continues the stream on another server after the last relayed event. */
  RESUME,
  /** Refuses the request, which has not run. */
  REFUSE,
  /** Relays the error response of the server. */
  PASS_ON,
  /** Responds that the outcome is unknown. */
  ANSWER_UNKNOWN,
  /** Aborts the response in a way that the caller can't mistake for a complete response. */
  BREAK_OFF;

  /**
   * Returns whether the request is sent again.
   *
   * @return whether it is sent from its start or to continue its response
   */
  public boolean isResend() {
    return this == RESEND || this == RESUME;
  }
}

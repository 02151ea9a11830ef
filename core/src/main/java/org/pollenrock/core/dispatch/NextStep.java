package org.pollenrock.core.dispatch;

/** What follows a failed send. */
public enum NextStep {
  /** Sends the request to another server, from its start. */
  RESEND,
  /** Lets another server go on with the stream after the last event that was passed on. */
  RESUME,
  /** Refuses the request, which has not run. */
  REFUSE,
  /** Passes the server's own failure on. */
  PASS_ON,
  /** Answers that the outcome is unknown. */
  ANSWER_UNKNOWN,
  /** Breaks the answer off so that it doesn't look complete. */
  BREAK_OFF
}

package org.pollenrock.core.response;

/** Reason why the head of a message is not that of a single response. */
public enum HeadFault {
  /** A status line begins after the start of the head. */
  SECOND_STATUS_LINE,
  /** The status is not one of a final or informational response without a protocol change. */
  STATUS,
  /** The name of a field is not a token, as when the line has no colon. */
  FIELD_NAME,
  /** A field value or the reason phrase contains a control character. */
  CONTROL_CHARACTER,
  /** A field that identifies or frames the response stands more than once. */
  REPEATED_FIELD,
  /** The body has a transfer coding other than chunked. */
  TRANSFER_CODING
}

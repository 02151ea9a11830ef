package org.pollenrock.core.connection;

/** Reason for closing a connection. */
public enum CloseReason {
  /** The peer sent no data within the receive timeout of the exchange. */
  RECEIVE_SILENCE,
  /** The peer accepted no pending write data within the send deadline. */
  SEND_SILENCE,
  /**
   * The exchange was cancelled, or its response completed before the request was sent in full.
   * Leftover data could be mistaken for a part of the next exchange.
   */
  EXCHANGE_ABORTED,
  /** Data arrived while no exchange was outstanding. */
  UNSOLICITED_DATA,
  /** The connection was idle and not newer than a probe that succeeded. */
  OLDER_THAN_PROBE,
  /** A probe of the server failed. */
  SERVER_SUSPECT
}

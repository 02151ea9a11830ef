package org.pollenrock.core.connection;

/** Why a connection is closed. */
public enum CloseReason {
  /** The peer sent nothing before the progress deadline. */
  RECEIVE_SILENCE,
  /** The peer accepted no written data before the write deadline. */
  SEND_SILENCE,
  /**
   * Its exchange was cancelled, or answered before the request was sent in full, so data of it
   * could be taken for the next exchange.
   */
  EXCHANGE_ABORTED,
  /** Data arrived while no exchange was outstanding. */
  UNSOLICITED_DATA,
  /** It was idle and older than a connection on which a probe succeeded. */
  OLDER_THAN_PROBE,
  /** The server was found to be silent. */
  SERVER_SUSPECT
}

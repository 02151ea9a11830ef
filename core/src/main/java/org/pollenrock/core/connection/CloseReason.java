package org.pollenrock.core.connection;

/** Why a connection is closed. */
public enum CloseReason {
  /** The peer sent nothing before the progress deadline. */
  RECEIVE_SILENCE,
  /** The peer accepted no written data before the write deadline. */
  SEND_SILENCE,
  /** Its exchange was cancelled or timed out, so a late answer could reach the next exchange. */
  EXCHANGE_ABORTED,
  /** Data arrived while no exchange was outstanding. */
  UNSOLICITED_DATA,
  /** It was idle and older than a connection on which a probe succeeded. */
  OLDER_THAN_PROBE,
  /** The server was found to be silent. */
  SERVER_SUSPECT
}

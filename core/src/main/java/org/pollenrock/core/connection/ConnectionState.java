package org.pollenrock.core.connection;

/** What a connection may be used for. */
public enum ConnectionState {
  /** Open without an outstanding exchange. */
  IDLE,
  /** Carries an exchange. */
  BUSY,
  /** Idle and possibly silent: no new exchange until a probe has decided. */
  SUSPECT,
  /** Closed, or ordered to be closed; never reused. */
  CLOSED
}

package org.pollenrock.core.connection;

/** State of a monitored connection. */
public enum ConnectionState {
  /** Open without an exchange. */
  IDLE,
  /** Open with an exchange in progress. */
  BUSY,
  /** Idle and possibly no longer delivering data; gets no new exchange until a probe has ended. */
  SUSPECT,
  /** Closed, or about to be closed by the caller; never reused. */
  CLOSED
}

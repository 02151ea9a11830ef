package org.pollenrock.core.membership;

/** State of a backend server as derived from all evidence. */
public enum ServerState {
  /** The server recently reported that it is live; it may receive requests. */
  LIVE,
  /** The server is known but did not recently report that it is live; it receives no requests. */
  SILENT,
  /**
   * The server is leaving; it receives no requests. If the server itself reported it, this state
   * lasts for its current incarnation.
   */
  LEAVING,
  /**
   * The server is absent from the instance list and silent, or the list assigns its address to
   * another server.
   */
  GONE
}

package org.pollenrock.core.dispatch;

import org.pollenrock.core.fleet.Backend;

/** Outcome of the choice of a server. */
public sealed interface Selection {
  /**
   * The request goes to a server.
   *
   * @param backend the server
   * @param reason why this one
   */
  record Chosen(Backend backend, Reason reason) implements Selection {}

  /** Every server that could take the request is at its limit or paused for a moment. */
  record AllBusy() implements Selection {}

  /** No server of the service is known, or none that serves the model. */
  record NoServer() implements Selection {}

  /** Why a server was chosen. */
  enum Reason {
    /** First in the ranking for the prompt's shared beginning. */
    HOME,
    /** A later one in that ranking, because those before it are loaded. */
    SPILL,
    /** The least loaded one. */
    LEAST_LOADED,
    /** An avoided server that is tried to see whether it recovered. */
    PROBE,
    /** An avoided server, because there is no other. */
    LAST_RESORT
  }
}

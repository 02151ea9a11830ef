package org.pollenrock.core.dispatch;

import java.util.Optional;
import org.pollenrock.core.fleet.Backend;

/** Outcome of the choice of a server. */
public sealed interface Selection {
  /**
   * The request goes to a server.
   *
   * @param backend the server
   * @param reason why this one
   * @param cacheDirectives what it is told of the prompt's cache; empty for a plain request
   * @param unreadTokens tokens of the prompt that it has to read or fetch
   */
  record Chosen(
      Backend backend, Reason reason, Optional<CacheDirectives> cacheDirectives, long unreadTokens)
      implements Selection {
    /**
     * A choice for a plain request.
     *
     * @param backend the server
     * @param reason why this one
     */
    public Chosen(Backend backend, Reason reason) {
      this(backend, reason, Optional.empty(), 0);
    }
  }

  /** Every server that could take the request is at its limit or paused for a moment. */
  record AllBusy() implements Selection {}

  /** No server of the service is known, or none that serves the model. */
  record NoServer() implements Selection {}

  /** Why a server was chosen. */
  enum Reason {
    /** Keeps the prompt's shared prefix, or is the one that should. */
    HOME,
    /** Another one, because those that keep the prefix have much to read. */
    SPILL,
    /** The least loaded one. */
    LEAST_LOADED,
    /** An avoided server that is tried to see whether it recovered. */
    PROBE,
    /** An avoided server, because there is no other. */
    LAST_RESORT
  }
}

package org.pollenrock.core.dispatch;

import java.util.Optional;
import org.pollenrock.core.fleet.Backend;

/** Result of selecting a server for a request. */
public sealed interface Selection {
  /**
   * The request goes to a server.
   *
   * @param backend the server
   * @param reason why this server was chosen
   * @param cacheDirectives cache directives for the engine; empty for a plain request
   * @param unreadTokens tokens of the prompt that the server has to read or fetch
   */
  record Chosen(
      Backend backend, Reason reason, Optional<CacheDirectives> cacheDirectives, long unreadTokens)
      implements Selection {
    /**
     * Creates the choice for a plain request.
     *
     * @param backend the server
     * @param reason why this server was chosen
     */
    public Chosen(Backend backend, Reason reason) {
      this(backend, reason, Optional.empty(), 0);
    }
  }

  /** Every server that could take the request is at its limit or temporarily paused. */
  record AllBusy() implements Selection {}

  /** No server of the service is known, or none serves the model. */
  record NoServer() implements Selection {}

  /** Reason for choosing a server. */
  enum Reason {
    /**
     * The server has cached the shared prefix of the prompt, or is its home according to rendezvous
     * hashing.
     */
    HOME,
    /**
     * Another server was chosen because those that have cached the prefix have too many tokens to
     * read.
     */
    SPILL,
    /** The server has the lowest load. */
    LEAST_LOADED,
    /**
     * A trial request to a server that is otherwise avoided, to find out whether it has recovered.
     */
    PROBE,
    /** An avoided server was chosen because no other server was available. */
    LAST_RESORT
  }
}

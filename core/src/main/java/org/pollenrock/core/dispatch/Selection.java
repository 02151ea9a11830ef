package org.pollenrock.core.dispatch;

import java.util.Optional;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.route.Route;

/** Result of selecting a server for a request. */
public sealed interface Selection {
  /**
   * The request goes to a server.
   *
   * @param backend the server
   * @param reason why this server was chosen
   * @param cacheDirectives cache directives for the engine; empty for a plain request
   * @param unreadTokens tokens of the prompt that the server has to read or fetch
   * @param backlogTokens estimated tokens that the server reads before its response starts; 0 if
   *     unknown
   * @param deferred whether the response would be late, so that the server should prefer requests
   *     that can still be answered in time
   */
  record Chosen(
      Backend backend,
      Reason reason,
      Optional<CacheDirectives> cacheDirectives,
      long unreadTokens,
      long backlogTokens,
      boolean deferred)
      implements Selection {
    /** Levels of urgency by which a deferred request runs later than others of its priority. */
    private static final int DEFERRED_STEP = 3;

    /**
     * Creates the choice for a plain request.
     *
     * @param backend the server
     * @param reason why this server was chosen
     */
    public Chosen(Backend backend, Reason reason) {
      this(backend, reason, Optional.empty(), 0, 0, false);
    }

    /**
     * Returns the urgency with which the server should run the request.
     *
     * @param request the request
     * @return urgency from 0, which runs first, to {@link Route#LEAST_URGENT}
     */
    public int urgency(DispatchRequest request) {
      return deferred
          ? Math.min(Route.LEAST_URGENT, request.urgency() + DEFERRED_STEP)
          : request.urgency();
    }

    /**
     * Returns the address from which the server should fetch a cached prefix.
     *
     * @return host and port, if the server should fetch one
     */
    public Optional<String> fetchFrom() {
      return cacheDirectives.flatMap(CacheDirectives::fetchFrom);
    }

    /**
     * Returns the tokens of the prompt that delay other requests at the server.
     *
     * @return the number of tokens; 0 if the request is deferred
     */
    public long delayingTokens() {
      return deferred ? 0 : unreadTokens;
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

package org.pollenrock.standin.http;

/** Answers requests of one stand-in; called on the connection's event loop. */
@FunctionalInterface
public interface StandinHandler {
  /**
   * Answers one request, now or later.
   *
   * @param request the request
   * @param exchange where to write the answer
   */
  void handle(StandinRequest request, StandinExchange exchange);
}

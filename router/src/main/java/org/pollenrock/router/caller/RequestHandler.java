package org.pollenrock.router.caller;

/** Serves requests of callers. */
public interface RequestHandler {
  /**
   * Serves a request; called on the event loop of its connection.
   *
   * @param request the request
   * @param sink where the response goes
   */
  void handle(CallerRequest request, ResponseSink sink);
}

package org.pollenrock.core.route;

/** Specifies whether the requests of a route may be repeated, and the form of the responses. */
public enum RouteKind {
  /** A request may run any number of times. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /**
   * The response is a stream of numbered events; a request runs at most once unless the route is
   * resumable.
   */
  STREAM
}

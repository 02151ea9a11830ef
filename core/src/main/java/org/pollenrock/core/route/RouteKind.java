package org.pollenrock.core.route;

/** What a route's requests may do more than once, and the form of their answers. */
public enum RouteKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answered by numbered events; runs at most once unless the route is resumable. */
  STREAM
}

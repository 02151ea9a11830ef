package org.pollenrock.core.placement;

/** Reason why a server was considered for a request. */
public enum CandidateOrigin {
  /** The server is believed to hold part of the prefix. */
  HOLDER,
  /** The server is one of the rendezvous homes of the prefix. */
  HOME,
  /** The server was sampled at random. */
  SAMPLED,
  /** The server ranks highest for the prefix among those outside the local data centres. */
  REMOTE,
  /** The server was considered by a strategy that looks at all eligible servers. */
  ELIGIBLE
}

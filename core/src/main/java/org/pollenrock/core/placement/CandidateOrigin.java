package org.pollenrock.core.placement;

/** Why a server was considered. */
public enum CandidateOrigin {
  /** Believed to hold part of the prefix. */
  HOLDER,
  /** One of the rendezvous homes of the prefix. */
  HOME,
  /** Drawn at random. */
  SAMPLED,
  /** Best-ranked server outside the local data centres. */
  REMOTE,
  /** Considered by a strategy that looks at every server. */
  ELIGIBLE
}

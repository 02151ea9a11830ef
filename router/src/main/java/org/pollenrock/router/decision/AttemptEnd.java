package org.pollenrock.router.decision;

/** How an attempt ended, for the statistics of its server. */
public enum AttemptEnd {
  /** The whole answer arrived. */
  COMPLETED,
  /** The server failed. */
  FAILED,
  /** The server refused, which is no fault. */
  REFUSED,
  /** The router or its caller gave up. */
  CANCELLED
}

package org.pollenrock.core.cache;

/** Where a belief about a block on a server comes from. */
enum BeliefSource {
  /** A response of the server to this router's own request. */
  OWN,
  /** A cache event or digest of the server. */
  EVENT,
  /** A request that this router has sent and whose first token has not arrived. */
  PENDING,
  /** An event that says the block left the cache. */
  EVICTED
}

package org.pollenrock.core.cache;

/** Where a belief about a block on a server comes from. */
enum EntrySource {
  /** A response of the server to this router's own request. */
  OWN_RESPONSE,
  /** A cache event or digest of the server. */
  CACHE_EVENT,
  /** A request that this router has sent and whose first token has not arrived. */
  PENDING_REQUEST,
  /** An event that says the block left the cache. */
  EVICTION_EVENT
}

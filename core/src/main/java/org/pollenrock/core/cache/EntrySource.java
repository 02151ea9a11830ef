package org.pollenrock.core.cache;

/** Source of the latest information about a block on a server. */
enum EntrySource {
  /** A response of the server to a request of this router; the block is cached. */
  OWN_RESPONSE,
  /** A cache event or a digest of the server; the block is cached. */
  CACHE_EVENT,
  /**
   * A request of this router whose first token has not arrived; the block will be cached when its
   * prefill is done.
   */
  PENDING_REQUEST,
  /** A cache event of the server; the block left the cache. */
  EVICTION_EVENT
}

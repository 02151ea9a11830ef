package org.pollenrock.core.cache;

import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * Change of a server's prefix cache, as reported by the server.
 *
 * @param sequence sequence number in the server's event stream; increases by one with each event of
 *     an incarnation
 * @param kind kind of the change
 * @param key key of the block
 */
public record CacheEvent(long sequence, Kind kind, BlockKey key) {
  /** Checks that no component is null. */
  public CacheEvent {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(key, "key");
  }

  /** Kind of a change. */
  public enum Kind {
    /** The block entered the cache. */
    STORED,
    /** The block left the cache. */
    EVICTED
  }
}

package org.pollenrock.core.cache;

import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * One change of a server's prefix cache.
 *
 * @param sequence position in the server's event stream, ascending by one within an incarnation
 * @param kind what happened
 * @param key the block
 */
public record CacheEvent(long sequence, Kind kind, BlockKey key) {
  /** Checks that every part is present. */
  public CacheEvent {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(key, "key");
  }

  /** What happened to a block. */
  public enum Kind {
    /** The block entered the cache. */
    STORED,
    /** The block left the cache. */
    EVICTED
  }
}

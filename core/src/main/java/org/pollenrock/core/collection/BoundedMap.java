package org.pollenrock.core.quarantine;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Map from hashes that keeps a maximum number of entries; the oldest leave first.
 *
 * @param <V> type of the values
 */
final class BoundedMap<V> extends LinkedHashMap<Long, V> {
  @Serial private static final long serialVersionUID = 1L;

  private final int maxEntries;

  BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
    return size() > maxEntries;
  }
}

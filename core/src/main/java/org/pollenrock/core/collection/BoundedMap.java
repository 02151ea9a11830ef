package org.pollenrock.core.collection;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Map that keeps a maximum number of entries; the oldest leave first.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  @Serial private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /**
   * Creates an empty map.
   *
   * @param maxEntries maximum number of entries
   */
  public BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}

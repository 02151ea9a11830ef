package org.pollenrock.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefix cache in blocks that evicts the least recently used one. */
final class EngineBlockCache {
  private final int capacity;
  private final Map<String, String> saltByKey = new LinkedHashMap<>(16, 0.75f, true);
  private long foreignHits;
  private long stored;

  EngineBlockCache(int capacity) {
    this.capacity = capacity;
  }

  /** Counts the leading keys that are cached and marks them as used. */
  int useLeading(List<String> keys, String salt) {
    int count = 0;
    for (String key : keys) {
      String owner = saltByKey.get(key);
      if (owner == null) {
        break;
      }
      if (!owner.equals(salt)) {
        foreignHits++;
      }
      count++;
    }
    return count;
  }

  /** Stores the keys and returns those that were evicted for them. */
  List<String> store(List<String> keys, String salt) {
    List<String> evicted = new ArrayList<>();
    for (String key : keys) {
      if (saltByKey.putIfAbsent(key, salt) == null) {
        stored++;
      }
    }
    while (saltByKey.size() > capacity) {
      String oldest = saltByKey.keySet().iterator().next();
      saltByKey.remove(oldest);
      evicted.add(oldest);
    }
    return evicted;
  }

  boolean holds(String key) {
    return saltByKey.containsKey(key);
  }

  List<String> keys() {
    return List.copyOf(saltByKey.keySet());
  }

  void clear() {
    saltByKey.clear();
  }

  int size() {
    return saltByKey.size();
  }

  long stored() {
    return stored;
  }

  long foreignHits() {
    return foreignHits;
  }
}

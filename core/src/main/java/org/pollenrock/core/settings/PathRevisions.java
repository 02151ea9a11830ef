package org.pollenrock.core.settings;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Revision at which each path changed last.
 *
 * <p>A path stands for all paths below it; entries below a changed path are dropped because the
 * changed path answers for them.
 */
final class PathRevisions {
  private final TreeMap<SettingsPath, Long> revisions = new TreeMap<>();

  /** Finds a path at, above or below the given one that changed after a revision. */
  Optional<Map.Entry<SettingsPath, Long>> changedAfter(SettingsPath path, long base) {
    for (int depth = 0; depth < path.depth(); depth++) {
      SettingsPath ancestor = path.prefix(depth);
      Long revision = revisions.get(ancestor);
      if (revision != null && revision > base) {
        return Optional.of(Map.entry(ancestor, revision));
      }
    }
    for (Map.Entry<SettingsPath, Long> entry : revisions.tailMap(path, true).entrySet()) {
      if (!path.contains(entry.getKey())) {
        break;
      }
      if (entry.getValue() > base) {
        return Optional.of(Map.entry(entry.getKey(), entry.getValue()));
      }
    }
    return Optional.empty();
  }

  void record(SettingsPath path, long revision) {
    Map<SettingsPath, Long> tail = revisions.tailMap(path, true);
    tail.keySet().stream().takeWhile(path::contains).toList().forEach(revisions::remove);
    revisions.put(path, revision);
  }

  /** Drops entries that no permitted base can conflict with. */
  void dropUpTo(long horizon) {
    revisions.values().removeIf(revision -> revision <= horizon);
  }

  void replace(Map<SettingsPath, Long> other) {
    revisions.clear();
    revisions.putAll(other);
  }

  Map<SettingsPath, Long> toMap() {
    return Map.copyOf(revisions);
  }

  int size() {
    return revisions.size();
  }
}

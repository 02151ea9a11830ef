package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Collects the parts of snapshots, which may arrive in any order, repeated or incomplete. */
public final class SnapshotAssembler {
  /** Greatest number of incomplete snapshots that are kept; two routers may write at once. */
  private static final int MAX_INCOMPLETE = 2;

  private final Map<Key, SnapshotPart[]> incomplete = new LinkedHashMap<>();

  private record Key(long next, long checksum, int count) {}

  /**
   * Adds a part.
   *
   * @param part the part
   * @return all parts in order, when this was the last one missing
   */
  public Optional<List<SnapshotPart>> add(SnapshotPart part) {
    Key key = new Key(part.next(), part.checksum(), part.count());
    SnapshotPart[] parts =
        incomplete.computeIfAbsent(key, missing -> new SnapshotPart[part.count()]);
    parts[part.index()] = part;
    if (Arrays.stream(parts).allMatch(present -> present != null)) {
      incomplete.remove(key);
      return Optional.of(List.of(parts));
    }
    if (incomplete.size() > MAX_INCOMPLETE) {
      incomplete.remove(incomplete.keySet().iterator().next());
    }
    return Optional.empty();
  }
}

package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.pollenrock.core.collection.BoundedMap;

/**
 * Parts and requests with strikes. Each kind has a bound of its own, so that a flood of bad
 * requests displaces no parts.
 */
final class StruckSuspects {
  private final BoundedMap<Long, StruckSuspect> parts =
      new BoundedMap<>(CrashQuarantine.MAX_ENTRIES);
  private final BoundedMap<Long, StruckSuspect> requests =
      new BoundedMap<>(CrashQuarantine.MAX_ENTRIES);

  boolean isEmpty() {
    return parts.isEmpty() && requests.isEmpty();
  }

  boolean hasRequests() {
    return !requests.isEmpty();
  }

  int size() {
    return parts.size() + requests.size();
  }

  boolean contains(long hash) {
    return of(hash).containsKey(hash);
  }

  /** Returns a suspect; null if it has no strikes. */
  StruckSuspect get(long hash) {
    return of(hash).get(hash);
  }

  /** Returns a suspect, and adds it without strikes if it is not known. */
  StruckSuspect getOrAdd(long hash) {
    return of(hash).computeIfAbsent(hash, key -> new StruckSuspect(CrashSuspects.isRequest(hash)));
  }

  /** Returns a suspect as {@link #getOrAdd}, and protects it from displacement the longest. */
  StruckSuspect refresh(long hash) {
    StruckSuspect struck = getOrAdd(hash);
    of(hash).putLast(hash, struck);
    return struck;
  }

  void remove(long hash) {
    of(hash).remove(hash);
  }

  /** Returns the hashes of the suspects that meet a condition. */
  List<Long> hashesOf(BiPredicate<Long, StruckSuspect> condition) {
    List<Long> hashes = new ArrayList<>();
    for (Map<Long, StruckSuspect> kind : List.of(parts, requests)) {
      kind.forEach(
          (hash, struck) -> {
            if (condition.test(hash, struck)) {
              hashes.add(hash);
            }
          });
    }
    return hashes;
  }

  /** Returns the suspects of the kind of a hash, by their hashes. */
  Map<Long, StruckSuspect> sameKind(long hash) {
    return of(hash);
  }

  private BoundedMap<Long, StruckSuspect> of(long hash) {
    return CrashSuspects.isRequest(hash) ? requests : parts;
  }
}

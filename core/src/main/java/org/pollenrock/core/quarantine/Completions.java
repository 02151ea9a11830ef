package org.pollenrock.core.quarantine;

import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.collection.BoundedMap;

/** Last completions of parts of prompts. */
final class Completions {
  private final BoundedMap<Long, Long> nanosByPart =
      new BoundedMap<>(CrashQuarantine.MAX_COMPLETED_PARTS);

  private Optional<Long> lastNanos = Optional.empty();

  /** Records a completion of a part; an older one than is known has no effect on the part. */
  void record(long part, long nanos) {
    Long known = nanosByPart.get(part);
    nanosByPart.putLast(part, known == null || nanos - known > 0 ? nanos : known);
    recordAny(nanos);
  }

  /** Records the completion of a request, whatever parts it has. */
  void recordAny(long nanos) {
    if (lastNanos.isEmpty() || nanos - lastNanos.get() > 0) {
      lastNanos = Optional.of(nanos);
    }
  }

  /** Returns the time of the last completion of a part; empty if none is known. */
  OptionalLong of(long part) {
    Long nanos = nanosByPart.get(part);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  boolean isKnown(long part) {
    return nanosByPart.containsKey(part);
  }

  /** Returns whether a request has completed after a time. */
  boolean anyAfter(long nanos) {
    return lastNanos.isPresent() && lastNanos.get() - nanos > 0;
  }

  /** Returns the number of parts about which something is stored. */
  int size() {
    return nanosByPart.size();
  }
}

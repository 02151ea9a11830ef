package org.pollenrock.core.quarantine;

import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.collection.BoundedMap;

/** Last completions of parts of prompts, and of requests that may be suspect. */
final class Completions {
  private final BoundedMap<Long, Long> nanosByPart =
      new BoundedMap<>(CrashQuarantine.MAX_COMPLETED_PARTS);

  private final BoundedMap<Long, Long> nanosByRequest =
      new BoundedMap<>(CrashQuarantine.MAX_COMPLETED_REQUESTS);

  private Optional<Long> lastNanos = Optional.empty();

  /**
   * Records a completion of a part or request; an older one than is known has no effect on it. The
   * completion of a part is also one of a prompt.
   */
  void record(long hash, long nanos) {
    BoundedMap<Long, Long> nanosByHash = sameKind(hash);
    Long known = nanosByHash.get(hash);
    nanosByHash.putLast(hash, known == null || nanos - known > 0 ? nanos : known);
    if (!CrashSuspects.isRequest(hash)) {
      recordAny(nanos);
    }
  }

  /** Records the completion of a request with a prompt, whatever parts it has. */
  void recordAny(long nanos) {
    if (lastNanos.isEmpty() || nanos - lastNanos.get() > 0) {
      lastNanos = Optional.of(nanos);
    }
  }

  /** Returns the time of the last completion of a part or request; empty if none is known. */
  OptionalLong of(long hash) {
    Long nanos = sameKind(hash).get(hash);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  boolean isKnown(long hash) {
    return sameKind(hash).containsKey(hash);
  }

  /** Returns whether a request with a prompt has completed after a time. */
  boolean anyAfter(long nanos) {
    return lastNanos.isPresent() && lastNanos.get() - nanos > 0;
  }

  /** Returns the number of parts and requests about which something is stored. */
  int size() {
    return nanosByPart.size() + nanosByRequest.size();
  }

  private BoundedMap<Long, Long> sameKind(long hash) {
    return CrashSuspects.isRequest(hash) ? nanosByRequest : nanosByPart;
  }
}

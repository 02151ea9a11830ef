package org.pollenrock.core.limits;

import java.util.List;

/** Capacity that one request occupies in its limits, from acquisition to release. */
public final class LimitHold {
  private final List<LimitEntry> entries;
  private final long promptTokens;
  private boolean released;

  LimitHold(List<LimitEntry> entries, long promptTokens) {
    this.entries = List.copyOf(entries);
    this.promptTokens = promptTokens;
  }

  List<LimitEntry> entries() {
    return entries;
  }

  long promptTokens() {
    return promptTokens;
  }

  /**
   * Marks the hold as released and returns true on the first call, so that repeats have no effect.
   */
  boolean markReleased() {
    boolean first = !released;
    released = true;
    return first;
  }
}

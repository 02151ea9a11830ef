package org.pollenrock.core.limits;

import java.util.List;

/** What one request holds of its limits, from acquisition to release. */
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

  /** Returns whether this call was the first, so that a repeated release has no effect. */
  boolean markReleased() {
    boolean first = !released;
    released = true;
    return first;
  }
}

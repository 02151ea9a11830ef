package org.pollenrock.core.claim;

import java.util.ArrayDeque;

/**
 * How far back the log reaches, from the times of the entries that were read.
 *
 * <p>Keeps one sample per fraction of the window, so its size does not depend on traffic.
 */
final class LogHorizon {
  private static final int SAMPLES_PER_WINDOW = 16;

  private final long windowMillis;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();
  private long firstOffset;

  private record Sample(long offset, long timeMillis) {}

  LogHorizon(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  void restart() {
    samples.clear();
  }

  void entryRead(long offset, long timeMillis) {
    long spacing = windowMillis / SAMPLES_PER_WINDOW;
    if (samples.isEmpty() || timeMillis - samples.peekLast().timeMillis() >= spacing) {
      samples.add(new Sample(offset, timeMillis));
    }
  }

  void firstOffset(long offset) {
    firstOffset = Math.max(firstOffset, offset);
    while (!samples.isEmpty() && samples.peek().offset() < firstOffset) {
      samples.remove();
    }
  }

  /** Whether the log, once it drops entries, still keeps twice the window as the design demands. */
  boolean longEnough(long newestTimeMillis) {
    if (firstOffset == 0) {
      return true;
    }
    return !samples.isEmpty() && newestTimeMillis - samples.peek().timeMillis() >= 2 * windowMillis;
  }
}

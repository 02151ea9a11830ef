package org.pollenrock.core.claim;

import java.util.ArrayDeque;

/**
 * Whether the log keeps entries long enough, from the times of the entries that it dropped.
 *
 * <p>A quiet log may keep few entries and still keep them long, so only the age of dropped ones
 * counts. Keeps one sample per fraction of the window, so its size does not depend on traffic.
 */
final class LogHorizon {
  private static final int SAMPLES_PER_WINDOW = 16;

  private final long windowMillis;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();
  private long newestDroppedMillis = Long.MIN_VALUE;

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
    while (!samples.isEmpty() && samples.peek().offset() < offset) {
      newestDroppedMillis = Math.max(newestDroppedMillis, samples.remove().timeMillis());
    }
  }

  /** False while the log has dropped an entry that is younger than twice the window. */
  boolean longEnough(long newestTimeMillis) {
    return newestDroppedMillis == Long.MIN_VALUE
        || newestTimeMillis - newestDroppedMillis >= 2 * windowMillis;
  }
}

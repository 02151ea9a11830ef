package org.pollenrock.core.claim;

import java.util.ArrayDeque;

/**
 * Checks whether the log keeps its entries long enough, based on the entries that it has dropped.
 *
 * <p>A log with little traffic may hold few entries and still keep each of them for a long time, so
 * only the age of dropped entries counts. At most {@link #SAMPLES_PER_WINDOW} entries per key
 * window are remembered, so the memory does not depend on the traffic.
 */
final class RetentionMonitor {
  private static final int SAMPLES_PER_WINDOW = 16;

  private final long windowMillis;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();
  private long newestDroppedMillis = Long.MIN_VALUE;

  /** Offset and log time of an entry that was read. */
  private record Sample(long offset, long timeMillis) {}

  RetentionMonitor(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Forgets the samples when the log is read from a new position. */
  void restart() {
    samples.clear();
  }

  /** Records that an entry was read, if the last sample is old enough for a new one. */
  void recordEntry(long offset, long timeMillis) {
    long spacing = windowMillis / SAMPLES_PER_WINDOW;
    if (samples.isEmpty() || timeMillis - samples.peekLast().timeMillis() >= spacing) {
      samples.add(new Sample(offset, timeMillis));
    }
  }

  /** Records the offset of the oldest kept entry; the log has dropped all entries before it. */
  void recordFirstOffset(long offset) {
    while (!samples.isEmpty() && samples.peek().offset() < offset) {
      newestDroppedMillis = Math.max(newestDroppedMillis, samples.remove().timeMillis());
    }
  }

  /**
   * Returns whether the retention is long enough: false if the log has dropped an entry that is
   * younger than twice the key window.
   */
  boolean isSufficient(long newestTimeMillis) {
    return newestDroppedMillis == Long.MIN_VALUE
        || newestTimeMillis - newestDroppedMillis >= 2 * windowMillis;
  }
}

package org.pollenrock.core.record;

import java.util.ArrayList;
import java.util.List;

/**
 * In-memory log stream for tests with consecutive offsets, a clock that the test sets, and removal
 * of old entries.
 */
public final class InMemoryLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private long firstOffset;
  private long headOffset;
  private long timeMillis;

  public InMemoryLog(long timeMillis) {
    this.timeMillis = timeMillis;
  }

  /** Advances the clock of the log; an earlier time has no effect. */
  public void timeMillis(long newTimeMillis) {
    timeMillis = Math.max(timeMillis, newTimeMillis);
  }

  public long timeMillis() {
    return timeMillis;
  }

  /** Appends an entry with the present time and returns its offset. */
  public long append(byte[] data) {
    entries.add(new LogEntry(headOffset, timeMillis, data));
    return headOffset++;
  }

  /** Removes the oldest entries until at most the given number remain. */
  public void truncate(int remaining) {
    while (entries.size() > remaining) {
      firstOffset = entries.removeFirst().offset() + 1;
    }
  }

  /** Removes the entries that are older than the given time, as the retention of a log does. */
  public void dropEntriesOlderThan(long oldestMillis) {
    while (!entries.isEmpty() && entries.getFirst().timeMillis() < oldestMillis) {
      firstOffset = entries.removeFirst().offset() + 1;
    }
  }

  /**
   * Reads at most {@code maximum} entries. As with the router's log reader, a read from a removed
   * offset starts at the oldest entry that remains.
   */
  public LogReadResult read(long from, int maximum) {
    long start = Math.max(from, firstOffset);
    List<LogEntry> found =
        entries.stream().filter(entry -> entry.offset() >= start).limit(maximum).toList();
    long headTime = entries.isEmpty() ? 0 : entries.getLast().timeMillis();
    return new LogReadResult(start, firstOffset, headOffset, headTime, found);
  }
}

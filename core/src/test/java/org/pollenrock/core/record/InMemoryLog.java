package org.pollenrock.core.record;

import java.util.ArrayList;
import java.util.List;

/** Log stream of the tests: dense offsets, a clock that the test sets, truncation. */
public final class InMemoryLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private long firstOffset;
  private long headOffset;
  private long timeMillis;

  public InMemoryLog(long timeMillis) {
    this.timeMillis = timeMillis;
  }

  public void timeMillis(long newTimeMillis) {
    timeMillis = Math.max(timeMillis, newTimeMillis);
  }

  public long timeMillis() {
    return timeMillis;
  }

  public long append(byte[] data) {
    entries.add(new LogEntry(headOffset, timeMillis, data));
    return headOffset++;
  }

  /** Drops all but the newest entries. */
  public void truncate(int keep) {
    while (entries.size() > keep) {
      firstOffset = entries.removeFirst().offset() + 1;
    }
  }

  /** Drops what the log's retention no longer covers. */
  public void dropEntriesOlderThan(long oldestMillis) {
    while (!entries.isEmpty() && entries.getFirst().timeMillis() < oldestMillis) {
      firstOffset = entries.removeFirst().offset() + 1;
    }
  }

  /** Reads like the adapter: below the retention it continues at the oldest entry. */
  public LogReadResult read(long from, int maximum) {
    long start = Math.max(from, firstOffset);
    List<LogEntry> found =
        entries.stream().filter(entry -> entry.offset() >= start).limit(maximum).toList();
    long headTime = entries.isEmpty() ? 0 : entries.getLast().timeMillis();
    return new LogReadResult(start, firstOffset, headOffset, headTime, found);
  }
}

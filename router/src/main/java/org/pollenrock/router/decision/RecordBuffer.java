package org.pollenrock.router.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.pollenrock.core.settings.LogRecord;

/** The newest settings records without gaps, within bounds, for peers that lag. */
final class RecordBuffer {
  private static final int MAX_RECORDS = 1_024;
  private static final long MAX_BYTES = 8L * 1024 * 1024;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private long bytes;

  /** Adds records; those that are held already are skipped, and a gap empties the buffer before. */
  void add(List<LogRecord> batch) {
    for (LogRecord one : batch) {
      long expected = records.isEmpty() ? one.offset() : records.getLast().offset() + 1;
      if (one.offset() < expected) {
        continue;
      }
      if (one.offset() > expected) {
        records.clear();
        bytes = 0;
      }
      records.addLast(one);
      bytes += one.data().length;
    }
    while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
      bytes -= records.removeFirst().data().length;
    }
  }

  /** Whether all records from an offset on are held. */
  boolean covers(long from) {
    return !records.isEmpty() && records.getFirst().offset() <= from;
  }

  List<LogRecord> from(long offset) {
    List<LogRecord> found = new ArrayList<>();
    for (LogRecord one : records) {
      if (one.offset() >= offset) {
        found.add(one);
      }
    }
    return found;
  }
}

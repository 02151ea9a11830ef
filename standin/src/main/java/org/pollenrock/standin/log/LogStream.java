package org.pollenrock.standin.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Records of one stream, oldest first; confined to the log's event loop. */
final class LogStream {
  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private long next;

  long append(byte[] data, long timeMs) {
    records.addLast(new StoredRecord(next, timeMs, data));
    return next++;
  }

  long first() {
    return records.isEmpty() ? next : records.getFirst().offset();
  }

  long next() {
    return next;
  }

  void dropBefore(long timeMs) {
    while (!records.isEmpty() && records.getFirst().timeMs() < timeMs) {
      records.removeFirst();
    }
  }

  List<StoredRecord> read(long from, int most) {
    List<StoredRecord> found = new ArrayList<>();
    if (from >= next) {
      return found;
    }
    for (StoredRecord stored : records) {
      if (stored.offset() >= from && found.size() < most) {
        found.add(stored);
      }
    }
    return found;
  }
}

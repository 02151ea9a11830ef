package org.pollenrock.core.settings;

import java.util.List;

/**
 * All records of a range of offsets, as the log or a peer returned them.
 *
 * @param from first offset of the range
 * @param next offset after the range
 * @param records the records in it, in order of their offsets
 */
public record LogBatch(long from, long next, List<LogRecord> records) {
  /**
   * Copies the records.
   *
   * @throws IllegalArgumentException when a record lies outside the range or out of order
   */
  public LogBatch {
    records = List.copyOf(records);
    long least = from;
    for (LogRecord entry : records) {
      if (entry.offset() < least || entry.offset() >= next) {
        throw new IllegalArgumentException("offset " + entry.offset() + " outside its range");
      }
      least = entry.offset() + 1;
    }
  }
}

package org.pollenrock.core.record;

import java.util.List;

/**
 * Response to one read of a log stream.
 *
 * @param from offset that the read asked for
 * @param first offset of the oldest entry that the log still keeps
 * @param head offset that the next appended entry will receive
 * @param headTimeMillis newest time that the log reported
 * @param entries entries from {@code from} on, in order and without gaps
 */
public record LogRead(
    long from, long first, long head, long headTimeMillis, List<LogEntry> entries) {
  /** Copies the entries. */
  public LogRead {
    entries = List.copyOf(entries);
  }
}

package org.pollenrock.core.record;

import java.util.List;

/**
 * Response to one read of a log stream.
 *
 * @param startOffset offset that the read asked for
 * @param firstOffset offset of the oldest entry that the log still keeps
 * @param headOffset offset that the next appended entry will receive
 * @param headTimeMillis newest time that the log reported
 * @param entries entries from {@code from} on, in order and without gaps
 */
public record LogReadResult(
    long startOffset,
    long firstOffset,
    long headOffset,
    long headTimeMillis,
    List<LogEntry> entries) {
  /** Copies the entries. */
  public LogReadResult {
    entries = List.copyOf(entries);
  }
}

package org.pollenrock.core.record;

import java.util.List;

/**
 * Result of one read of a log stream.
 *
 * @param startOffset offset at which the read started
 * @param firstOffset offset of the oldest entry that the log still contains
 * @param headOffset offset that the next appended entry will receive
 * @param headTimeMillis latest time that the log reported
 * @param entries entries from {@code startOffset} on, in order and without gaps
 */
public record LogReadResult(
    long startOffset,
    long firstOffset,
    long headOffset,
    long headTimeMillis,
    List<LogEntry> entries) {
  /** Makes the list of entries immutable. */
  public LogReadResult {
    entries = List.copyOf(entries);
  }
}

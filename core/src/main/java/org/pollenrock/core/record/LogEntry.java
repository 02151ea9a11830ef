package org.pollenrock.core.record;

import java.util.Objects;

/**
 * Entry of a log stream.
 *
 * @param offset position in the stream; increases by one with each entry
 * @param timeMillis time that the log assigned to the entry; never decreases along the stream
 * @param data the bytes that were appended
 */
public record LogEntry(long offset, long timeMillis, byte[] data) {
  /** Checks that the data is not null. */
  public LogEntry {
    Objects.requireNonNull(data, "data");
  }
}

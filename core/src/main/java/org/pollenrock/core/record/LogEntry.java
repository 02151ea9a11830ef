package org.pollenrock.core.record;

import java.util.Objects;

/**
 * One entry of a log stream.
 *
 * @param offset position in the stream, dense and ascending
 * @param timeMillis time that the log gave the entry, never descending along the stream
 * @param data the bytes that were appended
 */
public record LogEntry(long offset, long timeMillis, byte[] data) {
  /** Checks that the data is present. */
  public LogEntry {
    Objects.requireNonNull(data, "data");
  }
}

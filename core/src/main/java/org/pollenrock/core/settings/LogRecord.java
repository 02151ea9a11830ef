package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * A record of the settings stream.
 *
 * @param offset its offset on the log
 * @param timeMillis the log's time of it, in milliseconds since 1970
 * @param data its bytes, which nobody changes after construction
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {
  /** Checks that the data is present. */
  public LogRecord {
    Objects.requireNonNull(data, "data");
  }
}

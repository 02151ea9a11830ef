package org.pollenrock.router.decision;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;

/**
 * A record of the drain stream.
 *
 * @param server the server
 * @param fence number of the lease under which it was written
 * @param holdMillis time for which new work is held back from its log time on, 0 to end a hold
 */
record DrainRecord(BackendServerId server, FencingNumber fence, long holdMillis) {
  private static final String FORMAT = "drain1";
  private static final int FIELDS = 4;
  private static final long LONGEST_HOLD_MILLIS = 60_000;

  byte[] encode() {
    String text = FORMAT + ' ' + fence.value() + ' ' + holdMillis + ' ' + server.value();
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Reads a record; one of another form is empty. */
  static Optional<DrainRecord> decode(byte[] data) {
    String[] fields = new String(data, StandardCharsets.UTF_8).split(" ", FIELDS);
    if (fields.length != FIELDS || !fields[0].equals(FORMAT) || fields[3].isBlank()) {
      return Optional.empty();
    }
    try {
      long hold = Long.parseLong(fields[2]);
      return Optional.of(
          new DrainRecord(
              new BackendServerId(fields[3]),
              new FencingNumber(Long.parseLong(fields[1])),
              Math.clamp(hold, 0, LONGEST_HOLD_MILLIS)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}

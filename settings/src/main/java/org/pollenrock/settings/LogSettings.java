package org.pollenrock.settings;

import java.util.Objects;

/**
 * How a router reaches the log.
 *
 * @param address the log service
 * @param retentionNanos time for which the log keeps records, in nanoseconds
 * @param pollWaitNanos longest time that a read waits for new records, in nanoseconds
 * @param timeoutNanos time after which a call has failed, beyond the waiting it asked for, in
 *     nanoseconds
 * @param readRecords greatest number of records in one read
 */
public record LogSettings(
    HostPort address, long retentionNanos, long pollWaitNanos, long timeoutNanos, int readRecords) {
  /** Checks that all parts are present. */
  public LogSettings {
    Objects.requireNonNull(address, "address");
  }
}

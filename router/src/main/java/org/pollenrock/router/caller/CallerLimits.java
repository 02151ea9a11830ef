package org.pollenrock.router.caller;

import java.time.Duration;
import org.pollenrock.settings.LimitSettings;
import org.pollenrock.settings.MemorySettings;
import org.pollenrock.settings.ProcessSettings;

/**
 * Bounds that protect the router from callers.
 *
 * @param maxLineBytes longest request line
 * @param maxHeaderBytes largest sum of header lines
 * @param maxBodyBytes largest request body
 * @param maxQueuedBytes bytes of pipelined requests, and of responses not yet written, held for one
 *     connection
 * @param maxHeldBytes bytes of request bodies held by the router in all
 * @param maxConnections most caller connections
 * @param requestReadTimeout longest time from the first byte of a request to its last
 * @param idleTimeout longest time that a connection stays open without a request
 * @param writeStallTimeout longest time that a caller may leave its connection unwritable
 */
public record CallerLimits(
    int maxLineBytes,
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxQueuedBytes,
    long maxHeldBytes,
    int maxConnections,
    Duration requestReadTimeout,
    Duration idleTimeout,
    Duration writeStallTimeout) {
  /**
   * Takes the bounds from the settings of the process.
   *
   * @param settings the settings
   * @return the bounds
   */
  public static CallerLimits of(ProcessSettings settings) {
    LimitSettings limits = settings.limits();
    MemorySettings memory = settings.memory();
    return new CallerLimits(
        limits.lineBytes(),
        limits.headerBytes(),
        limits.bodyBytes(),
        memory.connectionBytes(),
        memory.requestBytes(),
        limits.connections(),
        Duration.ofNanos(limits.readTimeoutNanos()),
        Duration.ofNanos(limits.idleTimeoutNanos()),
        Duration.ofNanos(limits.writeTimeoutNanos()));
  }
}

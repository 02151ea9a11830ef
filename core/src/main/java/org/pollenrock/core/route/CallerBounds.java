package org.pollenrock.core.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes most bytes of a request's header section
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time from the first to the last byte of a header section
 * @param idleTimeoutMillis longest time for which a connection stays open without a request
 */
public record CallerBounds(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Bounds in force until a configuration is known. */
  public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4 << 20, 3_000, 15_000);
}

package org.pollenrock.core.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the header section of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis maximum time from the first to the last byte of a header section
 * @param idleTimeoutMillis maximum time for which a connection stays open without a request
 */
public record CallerBounds(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits that apply until a configuration is known. */
  public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4 << 20, 3_000, 15_000);
}

package org.pollenrock.router;

import java.time.Duration;

/**
 * Bounds that protect the router from callers and servers.
 *
 * @param maxLineBytes longest request line
 * @param maxHeaderBytes largest sum of header lines
 * @param maxBodyBytes largest request body
 * @param maxAnswerBytes largest answer that is not streamed
 * @param maxEventBytes largest event of a stream, and longest of its lines
 * @param maxQueuedBytes bytes of pipelined requests held per connection while one is served
 * @param maxHeldBytes bytes of request bodies held by the router in all
 * @param maxConnections most caller connections
 * @param mailboxSize most messages waiting for the decision task
 * @param requestReadTimeout longest time from the first byte of a request to its last
 * @param idleTimeout longest time that a caller connection stays open without a request
 * @param writeStallTimeout longest time that a caller may leave its connection unwritable
 * @param firstByteTimeout longest time to an engine's first token
 * @param tokenTimeout longest time between two tokens
 * @param provenLife longest time since the last answer of a connection that carries a
 *     non-idempotent call
 */
public record RouterLimits(
    int maxLineBytes,
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxAnswerBytes,
    int maxEventBytes,
    int maxQueuedBytes,
    long maxHeldBytes,
    int maxConnections,
    int mailboxSize,
    Duration requestReadTimeout,
    Duration idleTimeout,
    Duration writeStallTimeout,
    Duration firstByteTimeout,
    Duration tokenTimeout,
    Duration provenLife) {
  private static final int KIB = 1024;
  private static final int MIB = 1024 * KIB;

  /**
   * Bounds that suit a small deployment.
   *
   * @return the bounds
   */
  public static RouterLimits defaults() {
    return new RouterLimits(
        4 * KIB,
        16 * KIB,
        8 * MIB,
        8 * MIB,
        256 * KIB,
        64 * KIB,
        256L * MIB,
        20_000,
        65_536,
        Duration.ofSeconds(10),
        Duration.ofSeconds(60),
        Duration.ofSeconds(10),
        Duration.ofSeconds(10),
        Duration.ofSeconds(4),
        Duration.ofSeconds(1));
  }
}

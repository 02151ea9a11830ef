package org.pollenrock.protocol.link;

import java.time.Duration;

/**
 * Timing of the links.
 *
 * @param heartbeat interval between heartbeats
 * @param deadAfter time without a byte after which a link is closed
 * @param connectTimeout most time for a connection
 * @param reconnectBase first delay before a new connection
 * @param reconnectMax longest delay before a new connection
 */
public record PeerLinkSettings(
    Duration heartbeat,
    Duration deadAfter,
    Duration connectTimeout,
    Duration reconnectBase,
    Duration reconnectMax) {

  /** A link is closed after three missed heartbeats. */
  private static final int MISSED_HEARTBEATS = 3;

  /**
   * Timing derived from the heartbeat interval.
   *
   * @param heartbeat interval between heartbeats
   * @return a link is dead after three missed heartbeats
   */
  public static PeerLinkSettings of(Duration heartbeat) {
    return new PeerLinkSettings(
        heartbeat,
        heartbeat.multipliedBy(MISSED_HEARTBEATS),
        Duration.ofSeconds(1),
        Duration.ofMillis(50),
        Duration.ofSeconds(1));
  }
}

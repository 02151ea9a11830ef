package org.pollenrock.router;

import java.time.Duration;

/**
 * Time limits towards servers.
 *
 * @param leastFirstToken least time given to an engine's first token
 * @param firstTokenFactor multiple of the expected time to the first token that is waited for
 * @param betweenTokens longest time between two tokens
 * @param plainAnswer longest time to the answer of a plain server
 * @param provenLife longest time since the last answer of a connection that may carry a
 *     non-idempotent call
 * @param control longest time of a report, a probe, an order or a cancellation
 * @param reportInterval time between two reads of a server's report
 */
public record RouterTimes(
    Duration leastFirstToken,
    double firstTokenFactor,
    Duration betweenTokens,
    Duration plainAnswer,
    Duration provenLife,
    Duration control,
    Duration reportInterval) {
  /**
   * Limits that suit a small deployment.
   *
   * @return the limits
   */
  public static RouterTimes defaults() {
    return new RouterTimes(
        Duration.ofSeconds(3),
        4,
        Duration.ofSeconds(2),
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        Duration.ofMillis(100));
  }
}

package org.pollenrock.adapters.http;

import io.netty.handler.codec.http.HttpHeaders;

/** How an exchange ended. */
public sealed interface HttpOutcome {
  /**
   * The peer answered completely.
   *
   * @param status HTTP status
   * @param headers response headers
   * @param body response body
   */
  record Answered(int status, HttpHeaders headers, byte[] body) implements HttpOutcome {}

  /**
   * No byte of the request left: the connection was not established.
   *
   * @param reason a short explanation
   */
  record NotSent(String reason) implements HttpOutcome {}

  /**
   * The request may have arrived, but no complete answer came back.
   *
   * @param reason a short explanation
   * @param timedOut whether the time limit passed
   */
  record Broken(String reason, boolean timedOut) implements HttpOutcome {}
}

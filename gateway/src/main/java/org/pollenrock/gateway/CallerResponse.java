package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the answer to one request goes. */
interface CallerResponse {
  /** Sends a whole answer; the body is released. */
  void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of an answer of unknown length. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /**
   * Sends bytes of it; they are released.
   *
   * @return whether the caller keeps up
   */
  boolean write(ByteBuf bytes);

  /** Ends it. */
  void end();

  /** Closes the connection so that the answer doesn't look complete. */
  void abort();
}

package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Sends the response to one request to its caller. */
interface CallerResponse {
  /** Sends a complete response and releases its body. */
  void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a response whose length is not known in advance. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /**
   * Sends a part of the body and releases the bytes.
   *
   * @return false when the caller reads too slowly, so that more bytes would be buffered
   */
  boolean write(ByteBuf bytes);

  /** Ends a response that {@link #begin} started. */
  void end();

  /** Closes the connection, so that the caller recognizes the response as incomplete. */
  void abort();
}

package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the request that is sent to a server from the request of the caller. */
final class ForwardedRequest {
  private ForwardedRequest() {}

  /**
   * Returns the request for a server: the method, target and body of the caller, and the headers
   * that apply beyond the caller's connection, with those that the protocol sets.
   *
   * @param head head of the caller's request
   * @param body body of the caller's request, which is retained
   * @param context metadata of the send
   * @param protocol encodes the metadata
   * @return the request
   */
  static FullHttpRequest of(
      HttpRequest head, ByteBuf body, SendContext context, ServerProtocol protocol) {
    HttpHeaders headers = head.headers().copy();
    HopByHopHeaders.remove(headers);
    protocol.prepare(headers, context);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        head.method(),
        head.uri(),
        body.retainedDuplicate(),
        headers,
        EmptyHttpHeaders.INSTANCE);
  }
}

package org.pollenrock.standin.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The answer side of one request; its methods may be called from any thread. */
public final class StandinExchange {
  private static final String ATTEMPT_ID = "X-Attempt-Id";

  private final Channel channel;
  private final boolean keepAlive;
  private final Map<String, String> identity;

  /** Makes an exchange whose answer names the request when the request has an identifier. */
  StandinExchange(Channel channel, HttpRequest request) {
    this.channel = channel;
    this.keepAlive = HttpUtil.isKeepAlive(request);
    String id = request.headers().get(ATTEMPT_ID);
    this.identity = id == null ? Map.of() : Map.of(ATTEMPT_ID, id);
  }

  /**
   * Sends a whole answer.
   *
   * @param status HTTP status
   * @param headers extra headers
   * @param contentType media type of the body
   * @param body the body
   */
  public void respond(int status, Map<String, String> headers, String contentType, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    identity.forEach((name, value) -> response.headers().set(name, value));
    headers.forEach((name, value) -> response.headers().set(name, value));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    HttpUtil.setContentLength(response, body.length);
    HttpUtil.setKeepAlive(response, keepAlive);
    write(response, !keepAlive);
  }

  /**
   * Sends a JSON answer.
   *
   * @param status HTTP status
   * @param json the body
   */
  public void respondJson(int status, String json) {
    respond(status, Map.of(), "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Begins a chunked answer.
   *
   * @param status HTTP status
   * @param headers headers
   */
  public void beginStream(int status, Map<String, String> headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    identity.forEach((name, value) -> response.headers().set(name, value));
    headers.forEach((name, value) -> response.headers().set(name, value));
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    HttpUtil.setKeepAlive(response, keepAlive);
    write(response, false);
  }

  /**
   * Sends a part of a chunked answer.
   *
   * @param text the part
   */
  public void chunk(String text) {
    write(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)), false);
  }

  /** Ends a chunked answer. */
  public void endStream() {
    write(new DefaultLastHttpContent(), !keepAlive);
  }

  /**
   * Sends bytes that are not part of any answer; allowed only while no answer has begun.
   *
   * @param text the bytes
   */
  public void bytes(String text) {
    // The codec accepts no bytes before a head, so they are written below it.
    channel
        .pipeline()
        .context(HttpServerCodec.class)
        .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Closes the connection without ending the answer. */
  public void abort() {
    channel.close();
  }

  /**
   * Tells whether the client is still connected.
   *
   * @return false after the connection closed
   */
  public boolean open() {
    return channel.isActive();
  }

  private void write(Object message, boolean last) {
    var future = channel.writeAndFlush(message);
    if (last) {
      future.addListener(ChannelFutureListener.CLOSE);
    }
  }
}

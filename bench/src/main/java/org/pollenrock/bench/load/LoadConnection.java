package org.pollenrock.bench.load;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.pollenrock.bench.drive.TraceClient;

/** Kept-alive connection that sends one request at a time. */
public final class LoadConnection extends SimpleChannelInboundHandler<HttpObject> {
  private final String address;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private ChannelHandlerContext context;
  private Consumer<LoadAnswer> receiver;
  private int status;
  private long sentNanos;
  private long firstByteNanos;

  LoadConnection(String address) {
    this.address = address;
  }

  /**
   * Sends a request; the answer before must have ended.
   *
   * @param request the request
   * @param whenDone receives the answer on the connection's event loop
   */
  public void send(LoadRequest request, Consumer<LoadAnswer> whenDone) {
    context.executor().execute(() -> write(request, whenDone));
  }

  private void write(LoadRequest request, Consumer<LoadAnswer> whenDone) {
    receiver = whenDone;
    status = 0;
    firstByteNanos = -1;
    body.reset();
    sentNanos = System.nanoTime();
    if (!context.channel().isActive()) {
      finish(0);
      return;
    }
    context.writeAndFlush(encode(request));
  }

  private FullHttpRequest encode(LoadRequest request) {
    ByteBuf content = Unpooled.copiedBuffer(request.body(), StandardCharsets.UTF_8);
    FullHttpRequest http =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path(), content);
    http.headers()
        .set(HttpHeaderNames.HOST, address)
        .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + TraceClient.apiKey(0))
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    HttpUtil.setContentLength(http, content.readableBytes());
    return http;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ignored, HttpObject message)
      throws IOException {
    if (message instanceof HttpResponse response) {
      status = response.status().code();
    }
    if (message instanceof HttpContent content) {
      add(content.content());
    }
    if (message instanceof LastHttpContent) {
      finish(status);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    if (receiver != null) {
      finish(0);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    failed.close();
  }

  private void add(ByteBuf bytes) throws IOException {
    if (!bytes.isReadable()) {
      return;
    }
    if (firstByteNanos < 0) {
      firstByteNanos = System.nanoTime() - sentNanos;
    }
    bytes.readBytes(body, bytes.readableBytes());
  }

  private void finish(int endStatus) {
    Consumer<LoadAnswer> done = receiver;
    receiver = null;
    done.accept(
        new LoadAnswer(
            endStatus,
            body.toString(StandardCharsets.UTF_8),
            firstByteNanos,
            System.nanoTime() - sentNanos));
  }
}

package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.time.Duration;

/**
 * Client side of one HTTP connection; carries one request at a time.
 *
 * <p>The connection returns to its pool only after all bytes of a read have been looked at, so that
 * bytes behind a whole answer close it rather than reach the next request.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Follows one request. */
  interface Listener {
    /**
     * The head of an answer arrived.
     *
     * @return false when the answer belongs to another request and is to be skipped
     */
    boolean headReceived(HttpResponse response);

    /** Bytes of the answer arrived; not to be kept without retaining them. */
    void contentReceived(ByteBuf bytes);

    /** The answer is whole. */
    void responseEnded();

    /** No whole answer will come. */
    void requestFailed(Throwable cause);
  }

  private final ConnectionPool pool;
  private Channel channel;
  private Listener listener;
  private boolean inResponse;
  private boolean skippingResponse;
  private boolean requestWritten;
  private boolean closing;
  private boolean responseComplete;
  private boolean exceptionSeen;
  private long idleSinceNanos;
  private long keepAliveNanos = -1;

  HttpConnection(ConnectionPool pool) {
    super(HttpObject.class, true);
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request; its body is released. */
  void send(FullHttpRequest request, Listener newListener) {
    listener = newListener;
    inResponse = false;
    skippingResponse = false;
    requestWritten = false;
    responseComplete = false;
    channel
        .writeAndFlush(request)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                requestWritten = true;
                return;
              }
              fail(done.cause());
            });
  }

  /** Gives the request up; what the server still sends is of no interest. */
  void abandon() {
    listener = null;
    closing = true;
    channel.close();
  }

  /** Stops or resumes reading. */
  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  boolean isUsable() {
    return channel.isActive() && !closing;
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Time for which the server keeps the connection open while idle; negative when unknown. */
  long keepAliveNanos() {
    return keepAliveNanos;
  }

  void close() {
    closing = true;
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (listener == null || responseComplete) {
      if (isUsable()) {
        pool.reportStrayBytes();
      }
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse response) {
      handleHead(response);
    }
    if (message instanceof HttpContent content) {
      handleContent(content);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (responseComplete && listener != null) {
      listener = null;
      if (closing || !requestWritten || !channel.isActive()) {
        close();
        return;
      }
      idleSinceNanos = System.nanoTime();
      pool.returnIdle(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closing = true;
    fail(new IOException(exceptionSeen ? "connection reset" : "connection closed"));
    pool.remove(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    exceptionSeen = true;
    fail(cause);
  }

  private void handleHead(HttpResponse response) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skippingResponse = true;
      return;
    }
    HopByHopHeaders.keepAliveTimeout(response.headers())
        .map(Duration::toNanos)
        .ifPresent(nanos -> keepAliveNanos = nanos);
    if (!HttpUtil.isKeepAlive(response)) {
      closing = true;
    }
    if (listener.headReceived(response)) {
      inResponse = true;
    } else {
      skippingResponse = true;
    }
  }

  private void handleContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!inResponse || listener == null) {
      return;
    }
    if (last && exceptionSeen) {
      return;
    }
    if (content.content().isReadable()) {
      listener.contentReceived(content.content());
    }
    if (last && listener != null) {
      responseComplete = true;
      inResponse = false;
      listener.responseEnded();
    }
  }

  private void fail(Throwable cause) {
    Listener failed = responseComplete ? null : listener;
    listener = null;
    close();
    if (failed != null) {
      failed.requestFailed(cause);
    }
  }
}

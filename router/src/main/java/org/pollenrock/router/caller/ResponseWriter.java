package org.pollenrock.router.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;

/** Writes the response to one request; ignores everything after its end. */
final class ResponseWriter implements ResponseSink {
  private static final int RETRY_AFTER_SECONDS = 1;

  private static final ResponseListener NO_LISTENER =
      new ResponseListener() {
        @Override
        public void writabilityChanged(boolean writable) {
          // Nobody waits for the connection yet.
        }

        @Override
        public void disconnected() {
          // Nobody works for the connection yet.
        }

        @Override
        public void stopping() {
          // Nobody works for the connection yet.
        }
      };

  private final ChannelHandlerContext context;
  private final BooleanSupplier closing;
  private final EndListener endListener;
  private final boolean oldVersion;
  private boolean keepAlive;
  private boolean open = true;
  private ResponseListener listener = NO_LISTENER;

  /** Hears of the end of a response. */
  interface EndListener {
    void ended(boolean keepAlive);
  }

  /**
   * Creates a writer.
   *
   * @param context the connection
   * @param request head of the request
   * @param closing whether the connection closes after this response although its caller keeps it
   * @param endListener hears of the end of the response
   */
  ResponseWriter(
      ChannelHandlerContext context,
      HttpRequest request,
      BooleanSupplier closing,
      EndListener endListener) {
    this.context = context;
    this.closing = closing;
    this.endListener = endListener;
    this.oldVersion = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  /** Refuses input that is not a request; the connection is closed afterwards. */
  static ChannelFuture refuse(ChannelHandlerContext context, RequestError error) {
    byte[] body = ErrorBody.of(error);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(error.code().httpStatus()),
            Unpooled.wrappedBuffer(body));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (error.code() == ErrorCode.OVERLOADED) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    return context.writeAndFlush(response);
  }

  @Override
  public EventLoop loop() {
    return context.channel().eventLoop();
  }

  @Override
  public void listener(ResponseListener newListener) {
    listener = newListener;
  }

  @Override
  public void sendWhole(int status, HttpHeaders headers, byte[] body) {
    if (!open) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    setConnection(response);
    context.writeAndFlush(response);
    end();
  }

  @Override
  public void startStream(int status, HttpHeaders headers) {
    if (!open) {
      return;
    }
    DefaultHttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    if (oldVersion) {
      keepAlive = false;
    } else {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    setConnection(response);
    context.write(response);
  }

  @Override
  public void sendPart(byte[] bytes) {
    if (open) {
      context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
  }

  @Override
  public void endStream() {
    if (!open) {
      return;
    }
    context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    end();
  }

  @Override
  public boolean writable() {
    return context.channel().isWritable();
  }

  void writabilityChanged(boolean writable) {
    if (open) {
      listener.writabilityChanged(writable);
    }
  }

  void disconnected() {
    if (open) {
      open = false;
      listener.disconnected();
    }
  }

  void stopping() {
    if (open) {
      listener.stopping();
    }
  }

  private void setConnection(HttpResponse response) {
    keepAlive = keepAlive && !closing.getAsBoolean();
    response
        .headers()
        .set(
            HttpHeaderNames.CONNECTION,
            keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
  }

  private void end() {
    open = false;
    // The drain may have begun after the head of a streamed response was sent.
    endListener.ended(keepAlive && !closing.getAsBoolean());
  }
}

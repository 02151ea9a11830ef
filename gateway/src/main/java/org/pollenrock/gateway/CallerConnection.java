package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.StopPlan;

/** Server side of a connection of a caller, which receives and answers its requests in sequence. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {
  /**
   * Messages of pipelined requests that are buffered while a request is processed. Reading pauses
   * when as many are buffered.
   */
  private static final int MAX_PENDING_MESSAGES = 32;

  /** Time for which the rest of a rejected request is read and discarded. */
  private static final long REJECT_LINGER_MILLIS = 500;

  /**
   * Time after the last response in which a request that the caller sent before it read that
   * response is refused, instead of being lost with the connection.
   */
  private static final long CROSSING_MILLIS = 1_000;

  /** Retry-After of requests that are refused in a stop, in seconds. */
  private static final String RETRY_AFTER = retryAfter(StopPlan.RETRY_AFTER_MILLIS);

  /** Retry-After of a request for whose body this instance has no memory, in seconds. */
  private static final String RETRY_AFTER_WITHOUT_MEMORY =
      retryAfter(Dispatcher.EARLY_RETRY_AFTER_MILLIS);

  private final CallerListener listener;
  private final Deque<HttpObject> pendingMessages = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private ReservedBuffer body;
  private Exchange exchange;
  private boolean keepAlive;
  private boolean closing;

  /** Whether a response has told the caller that this side will close the connection. */
  private boolean closeAnnounced;

  private boolean closeScheduled;
  private long readingSinceNanos;
  private long lastActiveNanos;
  private boolean reading;

  /** Number of ended responses of which not all bytes have been written to the socket yet. */
  private int unwrittenResponses;

  CallerConnection(CallerListener listener) {
    this.listener = listener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    lastActiveNanos = System.nanoTime();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    listener.register(this);
  }

  /** Records that bytes have arrived; called before they are decoded. */
  void recordBytesReceived() {
    lastActiveNanos = System.nanoTime();
    listener.recordBytesReceived(lastActiveNanos);
    if (!reading && exchange == null) {
      reading = true;
      readingSinceNanos = lastActiveNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    HttpObject object = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(object);
      return;
    }
    if (exchange != null || !pendingMessages.isEmpty() || isResponseUnread()) {
      pendingMessages.add(object);
      if (pendingMessages.size() >= MAX_PENDING_MESSAGES) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    accept(object);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closing = true;
    listener.unregister(this);
    releaseBody();
    pendingMessages.forEach(ReferenceCountUtil::release);
    pendingMessages.clear();
    if (exchange != null) {
      Exchange abandoned = exchange;
      exchange = null;
      abandoned.handleCallerDisconnect();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (!channel.isWritable()) {
      return;
    }
    if (exchange != null) {
      exchange.resumeReading();
    } else if (!pendingMessages.isEmpty()) {
      channel.eventLoop().execute(this::acceptPending);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The caller reset the connection; channelInactive is called next.
    channel.close();
  }

  /**
   * Returns whether a request is being received or processed, its response is being written, or
   * another request may cross the last response.
   */
  boolean isBusy() {
    return exchange != null
        || reading
        || closeAnnounced
        || unwrittenResponses > 0
        || !pendingMessages.isEmpty();
  }

  /** Answers the request that is being received or processed, without waiting any longer. */
  void answer() {
    if (exchange != null) {
      exchange.end("stopping", DispatchResult.Cause.STOPPING);
    } else if (reading && !closing) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
    }
  }

  /** Enforces the time limits for a slow or idle caller. */
  void sweep(long now, long headerTimeoutNanos, long idleTimeoutNanos) {
    if (closing || exchange != null) {
      return;
    }
    if (!reading || !pendingMessages.isEmpty()) {
      if (now - lastActiveNanos > idleTimeoutNanos) {
        // Also a caller who does not read its response must not keep the connection for ever.
        closing = true;
        channel.close();
      }
      return;
    }
    boolean slowHead = head == null && now - readingSinceNanos > headerTimeoutNanos;
    boolean stalledBody = head != null && now - lastActiveNanos > headerTimeoutNanos;
    if (slowHead || stalledBody) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "request_timeout");
    }
  }

  @Override
  public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    if (closing) {
      content.release();
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, content, headers, EmptyHttpHeaders.INSTANCE);
    HopByHopHeaders.remove(response.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    setConnectionHeader(response);
    channel.writeAndFlush(response);
    finishResponse();
  }

  @Override
  public void begin(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    HopByHopHeaders.remove(response.headers());
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response);
    channel.write(response);
  }

  @Override
  public boolean write(ByteBuf bytes) {
    channel.writeAndFlush(new DefaultHttpContent(bytes));
    return channel.isWritable();
  }

  @Override
  public void end() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    finishResponse();
  }

  @Override
  public void abort() {
    closing = true;
    exchange = null;
    channel.close();
  }

  private void accept(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        rejectMalformed(object.decoderResult().cause());
        return;
      }
      if (object instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (object instanceof HttpContent content && !closing) {
        readBody(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void beginRequest(HttpRequest request) {
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    if (HopByHopHeaders.hasUnsupportedTransferCoding(request.headers())
        || request.protocolVersion().equals(HttpVersion.HTTP_1_0)
            && HttpUtil.isTransferEncodingChunked(request)) {
      reject(HttpResponseStatus.BAD_REQUEST, "transfer_coding");
      return;
    }
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > listener.bounds().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent content) {
    ByteBuf bytes = content.content();
    long receivedBytes = body == null ? 0 : body.readableBytes();
    if (receivedBytes + bytes.readableBytes() > listener.bounds().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (bytes.isReadable() && !appendToBody(bytes)) {
      listener.metrics().recordRefusal(DispatchResult.Cause.MEMORY);
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "memory");
      return;
    }
    if (content instanceof LastHttpContent) {
      HttpRequest request = head;
      ByteBuf requestBody = body == null ? Unpooled.EMPTY_BUFFER : body;
      head = null;
      body = null;
      reading = false;
      if (closeAnnounced) {
        requestBody.release();
        refuseCrossing();
        return;
      }
      Exchange created = listener.exchangeFactory().create(request, requestBody, this);
      exchange = created;
      listener.loopMonitor().runAfterInput(() -> runIfCallerConnected(created));
    }
  }

  /** Refuses a request that the caller sent before it read that it should send no more. */
  private void refuseCrossing() {
    HttpHeaders headers = emptyHeaders();
    headers.set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER);
    sendFull(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
  }

  private void runIfCallerConnected(Exchange created) {
    if (exchange == created) {
      created.run();
    }
  }

  /** Appends bytes to the body; returns false if no memory is left for them. */
  private boolean appendToBody(ByteBuf bytes) {
    if (body == null) {
      body = new ReservedBuffer(channel.alloc(), listener.bodyMemory());
    }
    return body.append(bytes);
  }

  private void rejectMalformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "header_too_large");
    } else if (cause instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_URI_TOO_LONG, "line_too_long");
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, "malformed: " + cause.getMessage());
    }
  }

  /** Responds to a request that was not received completely, and closes the connection. */
  private void reject(HttpResponseStatus status, String reason) {
    closing = true;
    listener
        .log()
        .line("request_rejected")
        .with("status", status.code())
        .with("cause", reason)
        .write();
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      String retryAfter = listener.isDraining() ? RETRY_AFTER : RETRY_AFTER_WITHOUT_MEMORY;
      response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
    }
    channel.writeAndFlush(response);
    // Closing with unread bytes would reset the connection before the caller has read the response.
    channel
        .eventLoop()
        .schedule(() -> channel.close(), REJECT_LINGER_MILLIS, TimeUnit.MILLISECONDS);
    releaseBody();
    head = null;
  }

  private void setConnectionHeader(HttpResponse response) {
    // Requests that were read already are answered before the connection closes.
    closeAnnounced |= keepAlive && listener.isDraining() && pendingMessages.isEmpty();
    if (!keepAlive || closeAnnounced) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void finishResponse() {
    exchange = null;
    lastActiveNanos = System.nanoTime();
    unwrittenResponses++;
    ChannelFuture written =
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> handleWritten());
    if (!keepAlive) {
      closing = true;
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    if (closeAnnounced && !closeScheduled) {
      closeScheduled = true;
      written.addListener(
          done ->
              channel
                  .eventLoop()
                  .schedule(this::closeAfterCrossing, CROSSING_MILLIS, TimeUnit.MILLISECONDS));
    }
    if (!pendingMessages.isEmpty()) {
      channel.eventLoop().execute(this::acceptPending);
    }
  }

  private void closeAfterCrossing() {
    if (reading && !closing) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
    } else {
      closing = true;
      channel.close();
    }
  }

  private void handleWritten() {
    unwrittenResponses--;
    lastActiveNanos = System.nanoTime();
  }

  private void acceptPending() {
    while (exchange == null && !closing && !pendingMessages.isEmpty() && !isResponseUnread()) {
      reading = true;
      readingSinceNanos = System.nanoTime();
      accept(pendingMessages.poll());
    }
    if (pendingMessages.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  /** Returns whether the caller has to read earlier responses before it gets another one. */
  private boolean isResponseUnread() {
    return head == null && !channel.isWritable();
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** Creates the headers of a response that this instance generates itself. */
  static HttpHeaders emptyHeaders() {
    return new DefaultHttpHeaders();
  }

  /** Returns the value of a Retry-After header, in seconds. */
  static String retryAfter(long millis) {
    return String.format(Locale.ROOT, "%.3f", millis / 1000.0);
  }
}

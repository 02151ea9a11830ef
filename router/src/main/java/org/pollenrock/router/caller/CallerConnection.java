package org.pollenrock.router.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;

/**
 * One connection of a caller: reads requests within bounds and serves them one after the other.
 *
 * <p>Pipelined requests are queued up to a bound while one is served; reading continues until then,
 * so that a disconnect is noticed at once.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Time in which a refused caller may read the response before the connection is closed. */
  private static final Duration LINGER = Duration.ofMillis(500);

  /** Bytes counted for a queued message in addition to its content. */
  private static final int MESSAGE_OVERHEAD_BYTES = 512;

  private final CallerLimits limits;
  private final RequestHandler handler;
  private final HeldBytes heldBytes;
  private final DrainSwitch drain;
  private final Deque<HttpObject> queue = new ArrayDeque<>();

  private ChannelHandlerContext context;
  private volatile State state = State.IDLE;
  private HttpRequest head;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private long queuedBytes;
  private long reservedBytes;
  private ResponseWriter writer;
  private Future<?> readDeadline;
  private Future<?> stallDeadline;

  private enum State {
    IDLE,
    READING,
    SERVING,
    CLOSING
  }

  CallerConnection(
      CallerLimits limits, RequestHandler handler, HeldBytes heldBytes, DrainSwitch drain) {
    this.limits = limits;
    this.handler = handler;
    this.heldBytes = heldBytes;
    this.drain = drain;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    if (ctx.channel().isActive()) {
      waitForRequest();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    waitForRequest();
  }

  /** Whether a request is being read or served, or its response may not have been sent. */
  boolean isBusy() {
    return state != State.IDLE || hasUnsentBytes();
  }

  Channel channel() {
    return context.channel();
  }

  /** Whether a response is open or not yet sent to its end. */
  boolean isAnswering() {
    return state == State.SERVING || hasUnsentBytes();
  }

  private boolean hasUnsentBytes() {
    ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  /**
   * Ends the current response, of which one that has begun is broken off, or refuses the request
   * that is being read.
   */
  void stopNow() {
    if (state == State.READING) {
      refuse(refusal(ErrorCode.OVERLOADED, "the router is stopping"));
      return;
    }
    if (writer != null) {
      writer.stopping();
    }
    if (writer != null) {
      context.close();
    }
  }

  void bytesArrived() {
    if (state != State.IDLE) {
      return;
    }
    state = State.READING;
    armReadDeadline(limits.requestReadTimeout(), this::readTimedOut);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof HttpObject object) || state == State.CLOSING) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (state == State.SERVING || !queue.isEmpty()) {
      enqueue(object);
      return;
    }
    process(object);
  }

  private void enqueue(HttpObject object) {
    queue.addLast(object);
    queuedBytes += sizeOf(object);
    if (queuedBytes > limits.maxQueuedBytes()) {
      context.channel().config().setAutoRead(false);
    }
  }

  private static long sizeOf(HttpObject object) {
    long content = object instanceof HttpContent part ? part.content().readableBytes() : 0;
    return content + MESSAGE_OVERHEAD_BYTES;
  }

  private void process(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        refuse(decodeError(object.decoderResult().cause()));
        return;
      }
      if (object instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (object instanceof HttpContent content && state == State.READING) {
        addContent(content.content());
      }
      if (object instanceof LastHttpContent && state == State.READING) {
        serve();
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void beginRequest(HttpRequest request) {
    head = request;
    state = State.READING;
    long length = HttpUtil.getContentLength(request, -1L);
    if (length > limits.maxBodyBytes()) {
      refuse(tooLarge("the body exceeds " + limits.maxBodyBytes() + " bytes"));
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void addContent(ByteBuf content) {
    int length = content.readableBytes();
    if (length == 0) {
      return;
    }
    if (body.size() + length > limits.maxBodyBytes()) {
      refuse(tooLarge("the body exceeds " + limits.maxBodyBytes() + " bytes"));
      return;
    }
    if (!heldBytes.reserve(length)) {
      refuse(refusal(ErrorCode.OVERLOADED, "the router holds too many request bytes"));
      return;
    }
    reservedBytes += length;
    byte[] bytes = new byte[length];
    content.readBytes(bytes);
    body.writeBytes(bytes);
  }

  private void serve() {
    if (drain.refusing()) {
      refuse(refusal(ErrorCode.OVERLOADED, "the router is stopping"));
      return;
    }
    cancel(readDeadline);
    state = State.SERVING;
    CallerRequest request =
        new CallerRequest(head.method(), head.uri(), head.headers(), body.toByteArray());
    body = new ByteArrayOutputStream();
    writer = new ResponseWriter(context, head, this::closesAfterResponse, this::responseEnded);
    head = null;
    handler.handle(request, writer);
  }

  /** Requests that were read already are answered before a stop closes the connection. */
  private boolean closesAfterResponse() {
    return drain.draining() && queue.isEmpty();
  }

  private void responseEnded(boolean keepAlive) {
    writer = null;
    cancel(stallDeadline);
    releaseReserved();
    if (!keepAlive) {
      state = State.CLOSING;
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> closeGently());
      return;
    }
    waitForRequest();
    context.executor().execute(this::processQueue);
  }

  private void processQueue() {
    while (!queue.isEmpty() && (state == State.IDLE || state == State.READING)) {
      HttpObject next = queue.pollFirst();
      queuedBytes -= sizeOf(next);
      bytesArrived();
      process(next);
    }
    if (queue.isEmpty() && state != State.CLOSING) {
      context.channel().config().setAutoRead(true);
    }
  }

  private void waitForRequest() {
    state = State.IDLE;
    armReadDeadline(limits.idleTimeout(), context::close);
  }

  private void readTimedOut() {
    refuse(refusal(ErrorCode.REQUEST_TIMEOUT, "the request was not complete in time"));
  }

  private void refuse(RequestError error) {
    if (state == State.CLOSING) {
      return;
    }
    cancel(readDeadline);
    releaseReserved();
    state = State.CLOSING;
    ChannelFuture written = ResponseWriter.refuse(context, error);
    written.addListener(done -> closeGently());
  }

  /** Closes after the caller had time to read: unread input would make the close a reset. */
  private void closeGently() {
    state = State.CLOSING;
    Channel channel = context.channel();
    boolean encrypted = channel.pipeline().get(SslHandler.class) != null;
    if (encrypted || !(channel instanceof SocketChannel socket)) {
      channel.close();
      return;
    }
    channel.config().setAutoRead(true);
    socket.shutdownOutput();
    context.executor().schedule(() -> channel.close(), LINGER.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    cancel(stallDeadline);
    if (!writable) {
      stallDeadline =
          ctx.executor()
              .schedule(
                  () -> ctx.close(), limits.writeStallTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }
    if (writer != null) {
      writer.writabilityChanged(writable);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    state = State.CLOSING;
    cancel(readDeadline);
    cancel(stallDeadline);
    queue.forEach(ReferenceCountUtil::release);
    queue.clear();
    releaseReserved();
    ResponseWriter open = writer;
    writer = null;
    if (open != null) {
      open.disconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private void armReadDeadline(Duration delay, Runnable action) {
    cancel(readDeadline);
    readDeadline = context.executor().schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static void cancel(Future<?> deadline) {
    if (deadline != null) {
      deadline.cancel(false);
    }
  }

  private void releaseReserved() {
    heldBytes.release(reservedBytes);
    reservedBytes = 0;
  }

  private static RequestError decodeError(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpLineException
            || cause instanceof TooLongHttpHeaderException
            || cause instanceof TooLongHttpContentException;
    return tooLong
        ? tooLarge("the request line or the headers are too long")
        : refusal(ErrorCode.MALFORMED_REQUEST, "the request is not valid HTTP/1.1");
  }

  private static RequestError tooLarge(String message) {
    return refusal(ErrorCode.REQUEST_TOO_LARGE, message);
  }

  private static RequestError refusal(ErrorCode code, String message) {
    return new RequestError.Refusal(code, Step.READ, Optional.empty(), message);
  }
}

package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.response.HeadFault;

/**
 * Client side of an HTTP connection, which carries one request at a time.
 *
 * <p>The connection returns to its pool only after all bytes of a read have been processed. Bytes
 * after the end of a response therefore close the connection and are never taken as the response to
 * the next request.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Receives the events of one request. */
  interface Listener {
    /**
     * Called when the head of a response has arrived.
     *
     * @return false if the response belongs to another request and has to be skipped
     */
    boolean headReceived(HttpResponse response);

    /** Returns the identifier that responses to the request carry; empty if none. */
    default String requestId() {
      return "";
    }

    /** Returns how the body is used, once the head was received. */
    default BodyUse bodyUse() {
      return BodyUse.COLLECTED;
    }

    /** Called when a head is not that of one response, before the request fails. */
    void malformedHeadReceived(MalformedHead head);

    /** Called when bytes of the body have arrived; they are valid only during the call. */
    void contentReceived(ByteBuf bytes);

    /**
     * Called when the response is complete.
     *
     * @return whether the connection may carry another request; false if a late copy of the
     *     response could be mistaken for the response to that request
     */
    boolean responseEnded();

    /** Called when the request has failed, so that no complete response will arrive. */
    void requestFailed(Throwable cause);
  }

  /** Time in which further bytes that wait in the socket are read. */
  private static final long NEXT_READ_MILLIS = 1;

  private final ConnectionPool pool;
  private final ResponseDecoder decoder = new ResponseDecoder(ConnectionPool.DECODER);
  private final ReceiveLimits limits = new ReceiveLimits();
  private long requestCount;
  private long skippedResponses;
  private Channel channel;
  private Listener listener;
  private boolean inResponse;
  private boolean skippingResponse;
  private boolean requestWritten;
  private boolean closing;
  private boolean responseComplete;
  private boolean exceptionSeen;
  private boolean readingWanted = true;
  private boolean paused;

  /** Whether the last read filled its buffer, so that the socket may hold further bytes. */
  private boolean readFilled;

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

  /** Sends a request and releases its body. */
  void send(FullHttpRequest request, Listener newListener) {
    listener = newListener;
    requestCount++;
    limits.reset();
    inResponse = false;
    skippingResponse = false;
    requestWritten = false;
    responseComplete = false;
    decoder.expectResponse(
        request.method().equals(HttpMethod.HEAD), newListener.requestId(), newListener::bodyUse);
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

  /**
   * Returns a handler that counts the bytes received before they are decoded. It belongs before the
   * decoder, because the decoder keeps nothing of the responses, framing and bytes that it skips.
   */
  private ChannelInboundHandler byteCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (!isUsable() && listener == null) {
          bytes.release();
          return;
        }
        int length = bytes.readableBytes();
        readFilled = !bytes.isWritable();
        boolean framed = inResponse;
        long startNanos = readFilled ? System.nanoTime() : 0;
        context.fireChannelRead(bytes);
        if (readFilled) {
          pool.readShare().recordPartialRead(HttpConnection.this, System.nanoTime() - startNanos);
        }
        if (listener != null && !responseComplete) {
          recordReceived(length, framed);
        }
      }
    };
  }

  /** Adds the handlers of the connection to the pipeline of a new channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline
        .addLast(byteCounter())
        .addLast(decoder)
        .addLast(new ServerRequestEncoder())
        .addLast(this);
  }

  private void recordReceived(int bytes, boolean framed) {
    if (framed) {
      limits.recordFramedBytes(bytes);
    } else if (!inResponse) {
      limits.recordSkippedBytes(bytes);
    }
    failIfExceeded();
  }

  private void failIfExceeded() {
    if (limits.isExceeded(decoder.withheldBytes())) {
      fail(new TooLongFrameException("bytes without end that are no response"));
    }
  }

  /** Gives up the request and closes the connection, without notifying the listener. */
  void abandon() {
    listener = null;
    closing = true;
    channel.close();
  }

  /** Pauses or resumes reading from the connection. */
  void setReading(boolean enabled) {
    readingWanted = enabled;
    updateReading();
  }

  /** Pauses reading while other connections are read, or ends the pause. */
  void setPaused(boolean newPaused) {
    paused = newPaused;
    updateReading();
  }

  private void updateReading() {
    channel.config().setAutoRead(readingWanted && !paused);
  }

  /** Puts a new connection into its pool before it has carried a request. */
  void returnUnused() {
    idleSinceNanos = System.nanoTime();
    pool.returnIdle(this);
  }

  /** Returns whether the connection is open and may carry another request. */
  boolean isUsable() {
    return channel.isActive() && !closing;
  }

  /** Returns the time at which the connection became idle. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Returns how long the server keeps the connection open while idle; negative if unknown. */
  long keepAliveNanos() {
    return keepAliveNanos;
  }

  /** Closes the connection. A request on it fails once the channel is closed. */
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
    if (listener == null && isUsable() && decoder.hasBytesOfNextResponse()) {
      // They would become the begin of the response to the next request.
      pool.reportStrayBytes();
      close();
      return;
    }
    if (!responseComplete || listener == null) {
      return;
    }
    if (readFilled) {
      // Bytes that belong to no request may follow in the socket.
      setReading(true);
      returnAfterNextRead(listener);
    } else {
      returnToPool(listener);
    }
  }

  private void returnAfterNextRead(Listener completed) {
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (paused && listener == completed) {
                returnAfterNextRead(completed);
              } else {
                returnInNextTurn(completed);
              }
            },
            NEXT_READ_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns the connection once the loop, which may be late, has read what the socket holds. */
  private void returnInNextTurn(Listener completed) {
    NextTurn.run(channel.eventLoop(), () -> returnToPool(completed));
  }

  private void returnToPool(Listener completed) {
    if (listener != completed) {
      return;
    }
    listener = null;
    if (closing || !requestWritten || !channel.isActive() || decoder.hasBytesOfNextResponse()) {
      close();
      return;
    }
    // Reading may have been paused for a caller who has the whole response now.
    setReading(true);
    idleSinceNanos = System.nanoTime();
    pool.returnIdle(this);
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
    Optional<HeadFault> fault =
        pool.headCheck()
            .find(
                response.status().code(),
                response.status().reasonPhrase(),
                response.headers().iteratorCharSequence());
    if (fault.isPresent()) {
      listener.malformedHeadReceived(
          MalformedHead.of(fault.get(), response, requestCount - 1, skippedResponses));
      fail(new MixedResponseException("malformed head: " + fault.get()));
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipResponse();
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
      skipResponse();
    }
  }

  private void skipResponse() {
    skippingResponse = true;
    skippedResponses++;
    limits.recordSkippedResponse();
    failIfExceeded();
  }

  private void handleContent(HttpContent content) {
    boolean lastContent = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !lastContent;
      return;
    }
    if (!inResponse || listener == null) {
      return;
    }
    if (lastContent && exceptionSeen) {
      return;
    }
    if (content instanceof LastHttpContent end) {
      Optional<HeadFault> fault =
          pool.headCheck().findInFields(end.trailingHeaders().iteratorCharSequence());
      if (fault.isPresent()) {
        fail(new MixedResponseException("malformed trailer: " + fault.get()));
        return;
      }
    }
    limits.recordContent(content.content().readableBytes());
    if (content.content().isReadable()) {
      listener.contentReceived(content.content());
    }
    if (lastContent && listener != null) {
      responseComplete = true;
      inResponse = false;
      if (!listener.responseEnded()) {
        closing = true;
      }
    }
  }

  private void fail(Throwable cause) {
    Listener failed = responseComplete ? null : listener;
    listener = null;
    close();
    if (failed != null) {
      // A refusal that the connection's end cuts off stands only if nothing else has begun in it.
      boolean mixed =
          inResponse && failed.bodyUse() == BodyUse.IGNORED && decoder.mayContainAnotherResponse();
      failed.requestFailed(
          mixed ? new MixedResponseException("another response begins before: " + cause) : cause);
    }
  }
}

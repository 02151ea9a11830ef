package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.route.Route;
import org.pollenrock.core.route.RouteKind;

/** One send of a request to one server, up to the end of that server's answer. */
final class ServerSend implements ConnectionPool.AcquireListener, HttpConnection.Listener {
  /**
   * Interval at which a repeatable request looks whether its server went silent; also the least.
   */
  private static final long SILENCE_CHECK_MILLIS = 450;

  /** Objectives for the first byte of an answer after which a silent server is given up. */
  private static final long MAX_SILENT_OBJECTIVES = 2;

  /** Longest answer that is held until it is whole, in bytes. */
  private static final int MAX_PLAIN_BODY_BYTES = 8 << 20;

  private enum Mode {
    AWAITING,
    REFUSED,
    MISPLACED,
    OTHER_WEIGHTS,
    PLAIN,
    STREAM
  }

  /** Follows the send. */
  interface Owner {
    /** A stream begins. */
    void streamStarted(ServerSend send, HttpResponse answer);

    /** Bytes of the stream arrived; not released. */
    void streamBytesReceived(ServerSend send, ByteBuf bytes);

    /** The stream is whole. */
    void streamEnded(ServerSend send);

    /** A whole answer arrived. */
    void responseReceived(ServerSend send, PlainResponse answer);

    /** Whether the request could go to another server if this send failed. */
    boolean canResend();

    /** No whole answer will come. */
    void sendFailed(ServerSend send, SendFailure failure, String cause);
  }

  private final GatewayComponents components;
  private final Owner owner;
  private final Backend backend;
  private final long unreadTokens;
  private final DispatchRequest request;
  private final Route route;
  private final SendContext context;
  private HttpRequest head;
  private ByteBuf body;
  private HttpConnection connection;
  private Mode mode = Mode.AWAITING;
  private HttpResponse responseHead;
  private ByteBuf plainBody;
  private boolean closed;
  private boolean sent;
  private boolean responseStarted;
  private ScheduledFuture<?> silenceTimer;

  ServerSend(
      GatewayComponents scope,
      Owner owner,
      Selection.Chosen choice,
      DispatchRequest request,
      Route route,
      SendContext context) {
    this.components = scope;
    this.owner = owner;
    this.backend = choice.backend();
    this.unreadTokens = choice.unreadTokens();
    this.request = request;
    this.route = route;
    this.context = context;
  }

  void start(HttpRequest originalHead, ByteBuf originalBody) {
    head = originalHead;
    body = originalBody;
    components.gossip().announceWork(backend);
    components.connectionPools().poolFor(backend).acquire(!route.isRepeatable(), this);
  }

  Backend backend() {
    return backend;
  }

  /** Whether bytes of the request may have left this instance. */
  boolean sent() {
    return sent;
  }

  void setReading(boolean on) {
    if (connection != null) {
      connection.setReading(on);
    }
  }

  /** Gives the send up without telling the owner. */
  void cancel() {
    if (closed) {
      return;
    }
    if (connection != null) {
      connection.abandon();
    }
    close();
  }

  @Override
  public void connected(HttpConnection opened, boolean reused) {
    if (closed) {
      opened.close();
      return;
    }
    connection = opened;
    sent = true;
    if (route.isRepeatable()) {
      scheduleSilenceCheck();
    }
    opened.send(buildRequest(), this);
  }

  @Override
  public void connectFailed(Throwable cause) {
    if (closed) {
      return;
    }
    components.reachability().recordUnreachable(backend, cause.toString());
    fail(SendFailure.NOT_SENT, cause.toString());
  }

  @Override
  public boolean headReceived(HttpResponse response) {
    long now = System.nanoTime();
    components.reachability().recordReceived(backend);
    ServerResponseMetadata said = components.serverProtocol().decode(response);
    if (!said.requestId().isEmpty() && !said.requestId().equals(request.id())) {
      components.metrics().recordForeignResponse();
      components
          .log()
          .line("foreign_answer")
          .with("id", request.id())
          .with("server", backend.entry().id())
          .with("answer_to", said.requestId())
          .write();
      return false;
    }
    if (!said.unreadableHeaders().isEmpty()) {
      components
          .log()
          .line("answer_headers_unreadable")
          .with("id", request.id())
          .with("server", backend.entry().id())
          .with("headers", String.join(",", said.unreadableHeaders()))
          .write();
    }
    said.load().ifPresent(load -> backend.recordLoad(load, now));
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (said.misdirected()) {
      handleMisdirected(said);
    } else if (said.notRun()) {
      mode = Mode.REFUSED;
    } else if (said.requestId().isEmpty() && !request.id().isEmpty()
        || success
            && (!said.signed() || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      connection.abandon();
      requestFailed(new IOException("answer without the server's identity"));
      return true;
    } else {
      recordWeightsVersion(said);
      mode = success && route.kind() == RouteKind.STREAM ? Mode.STREAM : Mode.PLAIN;
      responseHead = response;
    }
    if (mode == Mode.STREAM) {
      owner.streamStarted(this, response);
    }
    return true;
  }

  @Override
  public void contentReceived(ByteBuf bytes) {
    long now = System.nanoTime();
    backend.recordReceived(now);
    if (!responseStarted && !closed && (mode == Mode.STREAM || mode == Mode.PLAIN)) {
      responseStarted = true;
      backend.recordResponseStart(unreadTokens);
      releaseQueued();
      recordPromptRead(now);
    }
    if (mode == Mode.STREAM) {
      owner.streamBytesReceived(this, bytes);
    } else if (mode == Mode.PLAIN) {
      appendPlainBody(bytes);
    }
  }

  @Override
  public void responseEnded() {
    if (closed) {
      return;
    }
    switch (mode) {
      case REFUSED -> handleRefusal();
      case MISPLACED -> {
        components.fleet().removeMisplaced(backend);
        fail(SendFailure.MISPLACED, "another server at the address");
      }
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "other weights");
      case STREAM -> {
        recordOutcome(true);
        close();
        owner.streamEnded(this);
      }
      case PLAIN -> {
        PlainResponse whole =
            new PlainResponse(
                responseHead.status(),
                responseHead.headers(),
                plainBody == null ? Unpooled.EMPTY_BUFFER : plainBody);
        plainBody = null;
        boolean failed = responseHead.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        recordOutcome(!failed);
        close();
        owner.responseReceived(this, whole);
      }
      case AWAITING -> throw new IllegalStateException("answer without a head");
      default -> throw new IllegalStateException("mode " + mode);
    }
  }

  @Override
  public void requestFailed(Throwable cause) {
    if (closed) {
      return;
    }
    switch (mode) {
      case REFUSED -> handleRefusal();
      case MISPLACED -> fail(SendFailure.MISPLACED, "another server at the address");
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "other weights");
      default -> {
        recordOutcome(false);
        fail(SendFailure.BROKEN, cause.toString());
      }
    }
  }

  private void recordPromptRead(long now) {
    components
        .gossip()
        .announcePrefixRead(components.selector().recordPromptRead(request, backend, now), backend);
    context
        .engine()
        .map(SendContext.EngineContext::cache)
        .filter(cache -> cache.saveTo().isPresent())
        .ifPresent(
            cache -> {
              long key = PrefixStoreView.key(request.prompt().orElseThrow(), cache.salt());
              components.prefixStore().markStored(key);
              components.gossip().announcePrefixStored(key);
            });
  }

  /**
   * An engine has room for many waiting requests, so one that refuses most likely loads weights.
   */
  private void handleRefusal() {
    long now = System.nanoTime();
    if (request.prompt().isEmpty()) {
      backend.recordRefusal(now);
    } else if (backend.recordLoading(now)) {
      components.gossip().announceLoading(backend);
    }
    fail(SendFailure.REFUSED, "refused");
  }

  /** Tells a server with another identity at the address from one with other weights. */
  private void handleMisdirected(ServerResponseMetadata said) {
    boolean sameServer =
        said.serverId().isEmpty() || said.serverId().get().equals(context.serverId());
    if (sameServer && request.prompt().isPresent()) {
      mode = Mode.OTHER_WEIGHTS;
      request.prompt().ifPresent(prompt -> backend.clearWeightsVersion(prompt.model()));
      recordWeightsVersion(said);
    } else {
      mode = Mode.MISPLACED;
    }
  }

  private void recordWeightsVersion(ServerResponseMetadata said) {
    request
        .prompt()
        .ifPresent(
            prompt ->
                said.weightsVersion()
                    .ifPresent(version -> backend.recordWeightsVersion(prompt.model(), version)));
  }

  private FullHttpRequest buildRequest() {
    HttpHeaders headers = head.headers().copy();
    HopByHopHeaders.remove(headers);
    components.serverProtocol().prepare(headers, context);
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

  private void appendPlainBody(ByteBuf bytes) {
    if (plainBody == null) {
      plainBody = bytes.alloc().buffer(bytes.readableBytes());
    }
    if (plainBody.readableBytes() + bytes.readableBytes() > MAX_PLAIN_BODY_BYTES) {
      connection.abandon();
      requestFailed(new IOException("answer longer than " + MAX_PLAIN_BODY_BYTES + " bytes"));
      return;
    }
    plainBody.writeBytes(bytes);
  }

  private void scheduleSilenceCheck() {
    silenceTimer =
        components.loop().schedule(this::checkSilence, SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Gives up a server that owes answers and sends nothing to anybody, if another one can be asked;
   * sooner when it is missing already. A single answer may take as long as it wants.
   */
  private void checkSilence() {
    if (closed) {
      return;
    }
    long now = System.nanoTime();
    long objectives =
        backend.isMissing() ? 0 : MAX_SILENT_OBJECTIVES * request.targetLatencyMillis();
    long patience = Math.max(SILENCE_CHECK_MILLIS, objectives) * 1_000_000;
    if (backend.silentNanos(now) < patience || !owner.canResend()) {
      scheduleSilenceCheck();
      return;
    }
    connection.abandon();
    components.reachability().recordUnreachable(backend, "silent");
    recordOutcome(false);
    fail(SendFailure.BROKEN, "silent");
  }

  private void recordOutcome(boolean success) {
    backend.recordOutcome(success, System.nanoTime());
    components.gossip().announceOutcome(backend, success);
  }

  private void fail(SendFailure failure, String cause) {
    close();
    owner.sendFailed(this, failure, cause);
  }

  private void close() {
    closed = true;
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    if (plainBody != null) {
      plainBody.release();
      plainBody = null;
    }
    backend.recordRequestEnd(unreadTokens, responseStarted);
    releaseQueued();
  }

  private void releaseQueued() {
    components.loop().execute(() -> components.queuedExchanges().release(request.service()));
  }

  /** Status that tells callers that a request has not run, although it has. */
  static boolean impliesNotExecuted(HttpResponseStatus status) {
    int code = status.code();
    return code == 408 || code == 421 || code == 429 || code == 503;
  }
}

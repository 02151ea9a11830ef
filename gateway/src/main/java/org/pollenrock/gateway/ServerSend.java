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
final class ServerSend implements ConnectionPool.Taker, HttpConnection.Listener {
  /**
   * Interval at which a repeatable request looks whether its server went silent; also the least.
   */
  private static final long WATCH_MILLIS = 450;

  /** Objectives for the first byte of an answer after which a silent server is given up. */
  private static final long SILENT_OBJECTIVES = 2;

  /** Longest answer that is held until it is whole, in bytes. */
  private static final int MAX_PLAIN_BYTES = 8 << 20;

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
    void streamBegins(ServerSend send, HttpResponse answer);

    /** Bytes of the stream arrived; not released. */
    void streamBytes(ServerSend send, ByteBuf bytes);

    /** The stream is whole. */
    void streamEnds(ServerSend send);

    /** A whole answer arrived. */
    void answered(ServerSend send, PlainAnswer answer);

    /** Whether the request could go to another server if this send failed. */
    boolean canResend();

    /** No whole answer will come. */
    void sendFailed(ServerSend send, SendFailure failure, String cause);
  }

  private final ExchangeScope scope;
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
  private HttpResponse answer;
  private ByteBuf held;
  private boolean closed;
  private boolean sent;
  private boolean answering;
  private ScheduledFuture<?> watch;

  ServerSend(
      ExchangeScope scope,
      Owner owner,
      Selection.Chosen choice,
      DispatchRequest request,
      Route route,
      SendContext context) {
    this.scope = scope;
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
    scope.news().working(backend);
    scope.links().to(backend).take(!route.isRepeatable(), this);
  }

  Backend backend() {
    return backend;
  }

  /** Whether bytes of the request may have left this instance. */
  boolean sent() {
    return sent;
  }

  void reading(boolean on) {
    if (connection != null) {
      connection.reading(on);
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
      watch();
    }
    opened.send(outgoing(), this);
  }

  @Override
  public void refused(Throwable cause) {
    if (closed) {
      return;
    }
    scope.presence().missed(backend, cause.toString());
    fail(SendFailure.NOT_SENT, cause.toString());
  }

  @Override
  public boolean head(HttpResponse response) {
    long now = System.nanoTime();
    scope.presence().heard(backend);
    ServerResponseMetadata said = scope.servers().decode(response);
    if (!said.requestId().isEmpty() && !said.requestId().equals(request.id())) {
      scope.metrics().foreignAnswer();
      scope
          .log()
          .line("foreign_answer")
          .with("id", request.id())
          .with("server", backend.entry().id())
          .with("answer_to", said.requestId())
          .write();
      return false;
    }
    if (!said.unreadableHeaders().isEmpty()) {
      scope
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
      misdirected(said);
    } else if (said.notRun()) {
      mode = Mode.REFUSED;
    } else if (said.requestId().isEmpty() && !request.id().isEmpty()
        || success
            && (!said.signed() || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      connection.abandon();
      failed(new IOException("answer without the server's identity"));
      return true;
    } else {
      learnWeights(said);
      mode = success && route.kind() == RouteKind.STREAM ? Mode.STREAM : Mode.PLAIN;
      answer = response;
    }
    if (mode == Mode.STREAM) {
      owner.streamBegins(this, response);
    }
    return true;
  }

  @Override
  public void content(ByteBuf bytes) {
    long now = System.nanoTime();
    backend.recordReceived(now);
    if (!answering && !closed && (mode == Mode.STREAM || mode == Mode.PLAIN)) {
      answering = true;
      backend.recordResponseStart(unreadTokens);
      releaseWaiting();
      promptRead(now);
    }
    if (mode == Mode.STREAM) {
      owner.streamBytes(this, bytes);
    } else if (mode == Mode.PLAIN) {
      hold(bytes);
    }
  }

  @Override
  public void end() {
    if (closed) {
      return;
    }
    switch (mode) {
      case REFUSED -> refusedByServer();
      case MISPLACED -> {
        scope.fleet().removeMisplaced(backend);
        fail(SendFailure.MISPLACED, "another server at the address");
      }
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "other weights");
      case STREAM -> {
        outcome(true);
        close();
        owner.streamEnds(this);
      }
      case PLAIN -> {
        PlainAnswer whole =
            new PlainAnswer(
                answer.status(), answer.headers(), held == null ? Unpooled.EMPTY_BUFFER : held);
        held = null;
        boolean failed = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        outcome(!failed);
        close();
        owner.answered(this, whole);
      }
      case AWAITING -> throw new IllegalStateException("answer without a head");
      default -> throw new IllegalStateException("mode " + mode);
    }
  }

  @Override
  public void failed(Throwable cause) {
    if (closed) {
      return;
    }
    switch (mode) {
      case REFUSED -> refusedByServer();
      case MISPLACED -> fail(SendFailure.MISPLACED, "another server at the address");
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "other weights");
      default -> {
        outcome(false);
        fail(SendFailure.BROKEN, cause.toString());
      }
    }
  }

  private void promptRead(long now) {
    scope.news().read(scope.selector().recordPromptRead(request, backend, now), backend);
    context
        .engine()
        .map(SendContext.EngineContext::cache)
        .filter(cache -> cache.saveTo().isPresent())
        .ifPresent(
            cache -> {
              long key = PrefixStoreView.key(request.prompt().orElseThrow(), cache.salt());
              scope.store().markStored(key);
              scope.news().stored(key);
            });
  }

  /**
   * An engine has room for many waiting requests, so one that refuses most likely loads weights.
   */
  private void refusedByServer() {
    long now = System.nanoTime();
    if (request.prompt().isEmpty()) {
      backend.recordRefusal(now);
    } else if (backend.recordLoading(now)) {
      scope.news().loading(backend);
    }
    fail(SendFailure.REFUSED, "refused");
  }

  /** Tells a server with another identity at the address from one with other weights. */
  private void misdirected(ServerResponseMetadata said) {
    boolean sameServer =
        said.serverId().isEmpty() || said.serverId().get().equals(context.serverId());
    if (sameServer && request.prompt().isPresent()) {
      mode = Mode.OTHER_WEIGHTS;
      request.prompt().ifPresent(prompt -> backend.clearWeightsVersion(prompt.model()));
      learnWeights(said);
    } else {
      mode = Mode.MISPLACED;
    }
  }

  private void learnWeights(ServerResponseMetadata said) {
    request
        .prompt()
        .ifPresent(
            prompt ->
                said.weightsVersion()
                    .ifPresent(version -> backend.recordWeightsVersion(prompt.model(), version)));
  }

  private FullHttpRequest outgoing() {
    HttpHeaders headers = head.headers().copy();
    HopHeaders.remove(headers);
    scope.servers().prepare(headers, context);
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

  private void hold(ByteBuf bytes) {
    if (held == null) {
      held = bytes.alloc().buffer(bytes.readableBytes());
    }
    if (held.readableBytes() + bytes.readableBytes() > MAX_PLAIN_BYTES) {
      connection.abandon();
      failed(new IOException("answer longer than " + MAX_PLAIN_BYTES + " bytes"));
      return;
    }
    held.writeBytes(bytes);
  }

  private void watch() {
    watch = scope.loop().schedule(this::look, WATCH_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Gives up a server that owes answers and sends nothing to anybody, if another one can be asked;
   * sooner when it is missing already. A single answer may take as long as it wants.
   */
  private void look() {
    if (closed) {
      return;
    }
    long now = System.nanoTime();
    long objectives = backend.isMissing() ? 0 : SILENT_OBJECTIVES * request.targetLatencyMillis();
    long patience = Math.max(WATCH_MILLIS, objectives) * 1_000_000;
    if (backend.silentNanos(now) < patience || !owner.canResend()) {
      watch();
      return;
    }
    connection.abandon();
    scope.presence().missed(backend, "silent");
    outcome(false);
    fail(SendFailure.BROKEN, "silent");
  }

  private void outcome(boolean success) {
    backend.recordOutcome(success, System.nanoTime());
    scope.news().outcome(backend, success);
  }

  private void fail(SendFailure failure, String cause) {
    close();
    owner.sendFailed(this, failure, cause);
  }

  private void close() {
    closed = true;
    if (watch != null) {
      watch.cancel(false);
    }
    if (held != null) {
      held.release();
      held = null;
    }
    backend.recordRequestEnd(unreadTokens, answering);
    releaseWaiting();
  }

  private void releaseWaiting() {
    scope.loop().execute(() -> scope.queuedExchanges().release(request.service()));
  }

  /** Status that tells callers that a request has not run, although it has. */
  static boolean wouldPromiseNotRun(HttpResponseStatus status) {
    int code = status.code();
    return code == 408 || code == 421 || code == 429 || code == 503;
  }
}

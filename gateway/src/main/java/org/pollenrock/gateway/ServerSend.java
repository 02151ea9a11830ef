package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.util.Optional;
import org.pollenrock.core.dispatch.ConnectionReuse;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.NextStep;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.LoadReport;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;
import org.pollenrock.core.route.Route;
import org.pollenrock.core.route.RouteKind;

/** Sends a request to one server and receives the response of that server. */
final class ServerSend implements ConnectionPool.AcquireListener, HttpConnection.Listener {
  /** Maximum size of a response body that is buffered until it is complete. */
  private static final int MAX_PLAIN_BODY_BYTES = 8 << 20;

  /** Maximum size of the body of a refusal; nothing in it is used. */
  private static final int MAX_REFUSAL_BODY_BYTES = 64 << 10;

  private final GatewayComponents components;
  private final SendOwner owner;
  private final Backend backend;
  private final Selection.Chosen choice;
  private final long unreadTokens;
  private final DispatchRequest request;
  private final Route route;
  private final SendContext context;
  private HttpRequest head;
  private ByteBuf body;
  private HttpConnection connection;
  private ResponseMode mode = ResponseMode.AWAITING;
  private HttpResponse responseHead;
  private boolean endsWithConnection;
  private ReservedBuffer plainBody;
  private boolean closed;
  private boolean sent;
  private long sentNanos;
  private double loadAtSend;
  private long responseStartNanos;
  private boolean responseStarted;
  private long refusalBytes;
  private Optional<LoadReport> reportedLoad = Optional.empty();

  /** Whether the response names the request. */
  private boolean identified;

  /** Whether the connection has carried a response to another request during the send. */
  private boolean foreignSeen;

  private boolean promptRead;

  private final SilenceCheck silenceCheck;
  private final SendLog sendLog;

  ServerSend(
      GatewayComponents components,
      SendOwner owner,
      Selection.Chosen choice,
      DispatchRequest request,
      Route route,
      SendContext context) {
    this.components = components;
    this.owner = owner;
    this.backend = choice.backend();
    this.choice = choice;
    this.unreadTokens = choice.delayingTokens();
    this.request = request;
    this.route = route;
    this.context = context;
    this.sendLog = new SendLog(components, request.id(), backend.entry());
    this.silenceCheck =
        new SilenceCheck(
            components, backend, request.targetLatencyMillis(), this::replaceSilentServer);
  }

  /** Acquires a connection to the server and sends the request on it. */
  void start(HttpRequest originalHead, ByteBuf originalBody) {
    head = originalHead;
    body = originalBody;
    components.gossip().announceWork(backend);
    acquireConnection();
  }

  /** Returns the server that the request is sent to. */
  Backend backend() {
    return backend;
  }

  /** Returns whether bytes of the request may have been sent. */
  boolean sent() {
    return sent;
  }

  /** Pauses or resumes reading the response. */
  void setReading(boolean enabled) {
    if (connection != null) {
      connection.setReading(enabled);
    }
  }

  /** Logs the failure of the send, what had been relayed before, and what follows. */
  void logFailure(
      SendFailure failure, String cause, long relayedEvents, NextStep next, String promptParts) {
    Optional<String> requestHash =
        request
            .fingerprint()
            .filter(fingerprint -> failure == SendFailure.BROKEN)
            .map(fingerprint -> Long.toHexString(CrashSuspects.hash(fingerprint)));
    sendLog.failure(
        backend, failure, cause, relayedEvents, next, promptParts, requestHash.orElse(null));
  }

  /** Gives up the send without notifying the owner. */
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
    components.loopMonitor().runAfterInput(() -> sendOn(opened));
  }

  private void acquireConnection() {
    components.connectionPools().poolFor(backend).acquire(!route.isRepeatable(), this);
  }

  private void sendOn(HttpConnection opened) {
    if (closed) {
      opened.close();
      return;
    }
    if (!components.serverGate().permitsSend(backend)) {
      // The server has told so while the connection was opened.
      opened.returnUnused();
      fail(SendFailure.NOT_SENT, "server wants no requests");
      return;
    }
    if (backend.loadingPause().isActive(System.nanoTime())) {
      // Another instance has told so while the connection was opened.
      opened.returnUnused();
      fail(SendFailure.NOT_SENT, "server loads weights");
      return;
    }
    if (!opened.isUsable()) {
      // The server closed the connection before anything was sent on it.
      acquireConnection();
      return;
    }
    connection = opened;
    sent = true;
    sentNanos = System.nanoTime();
    loadAtSend = request.prompt().isEmpty() ? backend.load(sentNanos) : 0;
    if (route.isRepeatable()) {
      silenceCheck.start();
    }
    opened.send(ForwardedRequest.of(head, body, context, components.serverProtocol()), this);
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
    ServerResponseMetadata metadata = components.serverProtocol().decode(response);
    if (!metadata.requestId().isEmpty() && !metadata.requestId().equals(request.id())) {
      sendLog.foreignResponse(metadata.requestId());
      foreignSeen = true;
      return false;
    }
    identified = !metadata.requestId().isEmpty();
    if (!ConnectionReuse.isCredible(identified, foreignSeen)) {
      failInvalid("response without request id after one to another request");
      return true;
    }
    components.serverGate().recordResponse(backend, response.status().code(), response.headers());
    sendLog.unreadableHeaders(metadata.unreadableHeaders());
    reportedLoad = metadata.load();
    reportedLoad.ifPresent(load -> components.loadReports().record(backend, load, now));
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (metadata.misdirected()) {
      handleMisdirected(metadata);
    } else if (metadata.notRun()) {
      mode = ResponseMode.REFUSED;
    } else if (metadata.requestId().isEmpty() && !request.id().isEmpty()
        || success
            && (!metadata.signed()
                || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      failInvalid("response lacks request id or signature, or is compressed");
      return true;
    } else if (success && route.kind() == RouteKind.STREAM && !owner.acceptsStream(response)) {
      failInvalid("response does not continue the stream");
      return true;
    } else {
      recordWeightsVersion(metadata);
      mode = success && route.kind() == RouteKind.STREAM ? ResponseMode.STREAM : ResponseMode.PLAIN;
      responseHead = response;
      endsWithConnection =
          !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }
    if (mode != ResponseMode.MISPLACED) {
      components.rateLimits().recordNotice(backend, metadata.rateNotice(), sentNanos);
    }
    if (mode == ResponseMode.STREAM) {
      owner.streamStarted(this, response);
    }
    return true;
  }

  @Override
  public String requestId() {
    return request.id();
  }

  @Override
  public BodyUse bodyUse() {
    return mode.bodyUse();
  }

  @Override
  public void malformedHeadReceived(MalformedHead malformed) {
    sendLog.malformedHead(malformed);
  }

  @Override
  public void contentReceived(ByteBuf bytes) {
    long now = System.nanoTime();
    backend.recordReceived(now);
    if (!responseStarted && !closed && mode.isPassedOn()) {
      responseStarted = true;
      responseStartNanos = now;
      backend.recordResponseStart(unreadTokens);
      components.selector().lateness().recordResponse(request, choice, now - sentNanos);
      dispatchWaiting();
      PromptReadNews.announce(components, request, context, backend, now);
    }
    if (mode == ResponseMode.STREAM) {
      recordPromptRead(now);
      owner.streamBytesReceived(this, bytes);
    } else if (mode == ResponseMode.PLAIN) {
      appendPlainBody(bytes);
    } else if (!closed) {
      skipRefusalBody(bytes);
    }
  }

  private void recordPromptRead(long now) {
    if (!promptRead && !closed && now - responseStartNanos >= CrashQuarantine.READ_PROOF_NANOS) {
      promptRead = true;
      components.reachability().recordPromptRead(request.crashSuspects());
    }
  }

  @Override
  public boolean responseEnded() {
    if (!closed) {
      concludeResponse();
    }
    return ConnectionReuse.isAllowed(identified, owner.isConcluded(), foreignSeen);
  }

  private void concludeResponse() {
    switch (mode) {
      case REFUSED -> handleRefusal();
      case MISPLACED -> {
        components.fleet().removeMisplaced(backend);
        components.reachability().recordEnded(backend);
        fail(SendFailure.MISPLACED, "another server runs at the address");
      }
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "server has another weights version");
      case STREAM -> {
        recordOutcome(true);
        close();
        owner.streamEnded(this);
      }
      case PLAIN -> {
        PlainResponse plainResponse =
            new PlainResponse(
                responseHead.status(),
                responseHead.headers(),
                plainBody == null ? Unpooled.EMPTY_BUFFER : plainBody);
        plainBody = null;
        boolean failed = responseHead.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (!failed || components.serverGate().permitsSend(backend)) {
          recordOutcome(!failed);
        }
        close();
        owner.responseReceived(this, plainResponse);
      }
      case AWAITING -> throw new IllegalStateException("response ended before its head arrived");
      default -> throw new IllegalStateException("unexpected mode " + mode);
    }
  }

  @Override
  public void requestFailed(Throwable cause) {
    if (closed) {
      return;
    }
    // A refusal is not believed if its body contains another response.
    switch (isConnectionLoss(cause) ? mode : ResponseMode.AWAITING) {
      case REFUSED -> handleRefusal();
      case MISPLACED -> fail(SendFailure.MISPLACED, "another server runs at the address");
      case OTHER_WEIGHTS -> fail(SendFailure.OTHER_WEIGHTS, "server has another weights version");
      default -> {
        recordOutcome(false);
        if (isConnectionLoss(cause)) {
          recordBroken();
        }
        fail(SendFailure.BROKEN, cause.toString());
      }
    }
  }

  /**
   * Records that the response was complete, which clears the request of suspicion. If the end of
   * the connection ended the response, the server may have crashed and has to be seen alive first.
   */
  void recordComplete() {
    if (responseHead.status().codeClass() == HttpStatusClass.SUCCESS) {
      components.dispatcher().recordCompletion(request, System.nanoTime());
      recordSpeed(System.nanoTime());
      components
          .reachability()
          .recordCompletion(backend, request.crashSuspects(), sentNanos, endsWithConnection);
    }
  }

  private void recordSpeed(long now) {
    if (request.prompt().isEmpty() && mode == ResponseMode.PLAIN) {
      components.serverSpeeds().recordPlain(backend, loadAtSend, now - sentNanos, now);
    } else if (request.prompt().isPresent() && mode == ResponseMode.STREAM) {
      components.serverSpeeds().recordPrompt(choice, responseStartNanos - sentNanos, now);
    }
  }

  /** Records that the response ended before it was complete. */
  void recordIncomplete() {
    if (endsWithConnection) {
      recordBroken();
    }
  }

  private void recordBroken() {
    components.reachability().recordBroken(backend, request.crashSuspects(), sentNanos);
  }

  /** Fails the send since this instance has no memory for the response. */
  void failWithoutMemory() {
    connection.abandon();
    fail(SendFailure.BROKEN, BodyMemory.EXHAUSTED);
  }

  /** Fails the send because the response is not one that may be passed on. */
  void failInvalid(String cause) {
    connection.abandon();
    recordOutcome(false);
    fail(SendFailure.BROKEN, cause);
  }

  private static boolean isConnectionLoss(Throwable cause) {
    return cause instanceof IOException || cause instanceof PrematureChannelClosureException;
  }

  /**
   * Records that the server refused the request. An engine is treated as loading weights unless its
   * load explains the refusal: it has room for many waiting requests.
   */
  private void handleRefusal() {
    long now = System.nanoTime();
    if (!components.serverGate().permitsSend(backend)) {
      // The server has told for how long it wants no requests.
      fail(SendFailure.REFUSED, "refused with a notice");
      return;
    }
    if (request.prompt().isEmpty()
        || reportedLoad.filter(LoadReport::explainsRefusal).isPresent()) {
      backend.recordRefusal(now);
    } else if (backend.loadingPause().begin(now)) {
      components.gossip().announceLoading(backend);
    }
    fail(SendFailure.REFUSED, "refused");
  }

  /**
   * Distinguishes a rejection by another server at the address from one by the expected server,
   * whose weights have another version than the request expects.
   */
  private void handleMisdirected(ServerResponseMetadata metadata) {
    boolean sameServer =
        metadata.serverId().isEmpty() || metadata.serverId().get().equals(context.serverId());
    if (sameServer && request.prompt().isPresent()) {
      mode = ResponseMode.OTHER_WEIGHTS;
      request.prompt().ifPresent(prompt -> backend.clearWeightsVersion(prompt.model()));
      recordWeightsVersion(metadata);
    } else {
      mode = ResponseMode.MISPLACED;
    }
  }

  private void recordWeightsVersion(ServerResponseMetadata metadata) {
    if (request.prompt().isPresent() && metadata.weightsVersion().isPresent()) {
      String model = request.prompt().get().model();
      long version = metadata.weightsVersion().getAsLong();
      backend.recordWeightsVersion(model, version, System.nanoTime());
    }
  }

  private void appendPlainBody(ByteBuf bytes) {
    if (plainBody == null) {
      plainBody = new ReservedBuffer(bytes.alloc(), components.responseMemory());
    }
    if (plainBody.readableBytes() + bytes.readableBytes() > MAX_PLAIN_BODY_BYTES) {
      failInvalid("response body longer than " + MAX_PLAIN_BODY_BYTES + " bytes");
    } else if (!plainBody.append(bytes)) {
      failWithoutMemory();
    }
  }

  private void skipRefusalBody(ByteBuf bytes) {
    refusalBytes += bytes.readableBytes();
    if (refusalBytes > MAX_REFUSAL_BODY_BYTES) {
      connection.abandon();
      recordOutcome(false);
      requestFailed(new IOException("refusal of over " + MAX_REFUSAL_BODY_BYTES));
    }
  }

  /**
   * Gives up the send to a silent server if another one has been claimed for the request; otherwise
   * the server may still respond.
   *
   * @return whether the send was given up
   */
  private boolean replaceSilentServer() {
    Optional<Selection.Chosen> replacement = owner.claimReplacement(this);
    if (replacement.isEmpty()) {
      return false;
    }
    connection.abandon();
    components.reachability().recordUnreachable(backend, "silent");
    recordOutcome(false);
    close();
    owner.replaceSend(this, replacement.get(), "silent");
    return true;
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
    silenceCheck.stop();
    if (plainBody != null) {
      plainBody.release();
      plainBody = null;
    }
    backend.recordRequestEnd(unreadTokens, responseStarted);
    dispatchWaiting();
  }

  private void dispatchWaiting() {
    components
        .loop()
        .execute(() -> components.queuedExchanges().dispatchWaiting(request.service()));
  }
}

package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.FailurePolicy;
import org.pollenrock.core.dispatch.NextStep;
import org.pollenrock.core.dispatch.QueueEntry;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.dispatch.SendProgress;
import org.pollenrock.core.dispatch.SendState;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.limits.QuotaExcess;
import org.pollenrock.core.route.CustomerAccess;
import org.pollenrock.core.route.CustomerQuota;
import org.pollenrock.core.route.Route;
import org.pollenrock.core.route.RouteDecision;
import org.pollenrock.core.route.RouteKind;
import org.pollenrock.core.route.RoutingConfig;

/** Handles a received request: routes, queues and sends it, and relays the server's response. */
final class Exchange implements SendOwner, QuotaHold.Owner {
  /** Time after the deadline for which the exchange still waits for the response of the server. */
  private static final long DEADLINE_GRACE_MILLIS = 120;

  /** Minimum time left until the deadline for a request to be sent again. */
  private static final long MIN_RESEND_NANOS = 30_000_000L;

  private final GatewayComponents components;
  private final HttpRequest head;
  private final ByteBuf body;
  private final CallerResponse response;
  private final CallerRequestMetadata metadata;
  private final StreamRelay relay;
  private final long arrivedNanos = System.nanoTime();
  private final SendProgress progress = new SendProgress();
  private Route route;
  private Optional<CustomerAccess> customerAccess = Optional.empty();
  private long configVersion;
  private DispatchRequest request;
  private ScheduledFuture<?> deadlineTimer;
  private QuotaHold quotaHold;
  private Optional<QuotaExcess> quotaExcess = Optional.empty();
  private QueueEntry queueEntry;
  private ServerSend send;
  private Selection.Chosen choice;
  private long waitedNanos;
  private PlainResponse serverErrorResponse;
  private int sendCount;
  private boolean callerDisconnected;
  private boolean finished;
  private long firstByteNanos;

  Exchange(GatewayComponents components, HttpRequest head, ByteBuf body, CallerResponse response) {
    this.components = components;
    this.head = head;
    this.body = body;
    this.response = response;
    this.metadata = components.callerProtocol().decode(head);
    this.relay =
        new StreamRelay(
            response, body.alloc(), components.responseMemory(), metadata.lastEventNumber());
  }

  /** Routes the request and then sends it, queues it, refuses it or responds with an error. */
  void run() {
    if (components.refusingRequests().getAsBoolean()) {
      refuse(DispatchResult.Cause.STOPPING);
      return;
    }
    Optional<RoutingConfig> config = components.configs().current();
    if (config.isEmpty()) {
      refuse(DispatchResult.Cause.NO_CONFIGURATION);
      return;
    }
    configVersion = config.get().version();
    String host = head.headers().get(HttpHeaderNames.HOST, "");
    switch (config.get().decide(host, head.uri(), metadata.apiKey())) {
      case RouteDecision.NoRoute() -> replyFailed(HttpResponseStatus.NOT_FOUND, "no_route");
      case RouteDecision.UnknownKey(Route matched) -> {
        route = matched;
        replyFailed(HttpResponseStatus.UNAUTHORIZED, "unknown_key");
      }
      case RouteDecision.Allowed(Route matched, Optional<CustomerAccess> access) -> {
        route = matched;
        customerAccess = access;
        admit();
      }
    }
  }

  /** Cancels the request of a disconnected caller, unless it is non-idempotent and already sent. */
  void handleCallerDisconnect() {
    if (finished) {
      return;
    }
    callerDisconnected = true;
    if (queueEntry != null) {
      components.queuedExchanges().withdraw(queueEntry);
      queueEntry = null;
    }
    if (send != null && send.sent() && route.kind() == RouteKind.NON_IDEMPOTENT) {
      // Closing the server's connection would not undo a run; after the response it can be reused.
      return;
    }
    if (send != null) {
      send.cancel();
    }
    finish("caller_left", 0, null);
  }

  /** Resumes reading from the server, after the caller's connection has become writable again. */
  void resumeReading() {
    if (send != null) {
      send.setReading(true);
    }
  }

  /** Sends the request, which waited in the queue, to a server that can take it now. */
  void sendFromQueue(Selection.Chosen choice) {
    queueEntry = null;
    sendTo(choice);
  }

  /** Refuses the request, which waited in the queue and was removed from it. */
  void refuseFromQueue(DispatchResult.Cause cause) {
    queueEntry = null;
    refuse(cause);
  }

  @Override
  public boolean acceptsStream(HttpResponse serverResponse) {
    return relay.accepts(serverResponse);
  }

  @Override
  public void streamStarted(ServerSend from, HttpResponse serverResponse) {
    relay.begin(serverResponse);
    request = components.streamOrigins().bind(route, request, from.backend().entry());
  }

  @Override
  public void streamBytesReceived(ServerSend from, ByteBuf bytes) {
    if (!relay.relay(bytes)) {
      from.setReading(false);
    }
    if (firstByteNanos == 0 && relay.started()) {
      firstByteNanos = System.nanoTime() - arrivedNanos;
      components.metrics().recordFirstByte(route.kind(), firstByteNanos);
    }
    if (relay.lacksMemory()) {
      from.failWithoutMemory();
    } else if (relay.isEventTooLong()) {
      from.failInvalid("event exceeds the maximum size");
    }
  }

  @Override
  public void streamEnded(ServerSend from) {
    if (relay.endsInsideEvent() || !relay.started()) {
      from.recordIncomplete();
      sendFailed(from, SendFailure.BROKEN, "stream ended before an event was complete");
      return;
    }
    from.recordComplete();
    relay.end();
    finish("streamed", HttpResponseStatus.OK.code(), null);
  }

  @Override
  public void responseReceived(ServerSend from, PlainResponse serverResponse) {
    // After a stream has begun, no other response can reach the caller.
    boolean failed =
        serverResponse.status().codeClass() == HttpStatusClass.SERVER_ERROR || relay.started();
    if (!failed) {
      from.recordComplete();
      relayResponse(serverResponse);
      return;
    }
    if (serverErrorResponse != null) {
      serverErrorResponse.body().release();
    }
    serverErrorResponse = serverResponse;
    sendFailed(from, SendFailure.SERVER_ERROR, "status " + serverResponse.status().code());
  }

  @Override
  public Optional<Selection.Chosen> claimReplacement(ServerSend from) {
    SendProgress ifBroken = progress.with(from.backend().entry().id(), SendFailure.BROKEN);
    if (!FailurePolicy.nextStep(SendFailure.BROKEN, sendState(ifBroken)).isResend()
        || !hasTimeToResend()) {
      return Optional.empty();
    }
    return components
        .dispatcher()
        .claimReplacement(request, ifBroken.triedServerIds(), System.nanoTime());
  }

  @Override
  public void replaceSend(ServerSend from, Selection.Chosen replacement, String cause) {
    recordFailure(from, SendFailure.BROKEN);
    NextStep step = FailurePolicy.nextStep(SendFailure.BROKEN, sendState(progress));
    logFailure(from, SendFailure.BROKEN, cause, step);
    sendTo(replacement);
  }

  @Override
  public boolean isConcluded() {
    return finished;
  }

  @Override
  public void sendFailed(ServerSend from, SendFailure failure, String cause) {
    recordFailure(from, failure);
    SendState state = sendState(progress);
    NextStep step = FailurePolicy.nextStep(failure, state);
    logFailure(from, failure, cause, step);
    if (callerDisconnected) {
      finish("caller_left", 0, cause);
      return;
    }
    boolean shouldResend = step.isResend();
    if (shouldResend && hasTimeToResend()) {
      boolean counted = failure != SendFailure.NOT_SENT;
      DispatchResult next =
          components
              .dispatcher()
              .resubmit(request, progress.triedServerIds(), counted, System.nanoTime());
      if (next instanceof DispatchResult.Refused refused) {
        conclude(FailurePolicy.finalStep(failure, state), refused.cause(), cause);
      } else {
        handleDispatch(next);
      }
      return;
    }
    NextStep finalStep = shouldResend ? FailurePolicy.finalStep(failure, state) : step;
    conclude(finalStep, DispatchResult.Cause.SERVERS_REFUSED, cause);
  }

  private void recordFailure(ServerSend from, SendFailure failure) {
    send = null;
    progress.recordFailure(from.backend().entry().id(), failure);
    components.metrics().recordSendFailure(route.kind(), failure);
  }

  private SendState sendState(SendProgress current) {
    return current.state(
        route.isRepeatable(),
        route.maxAttempts(),
        relay.started(),
        route.resumable() && relay.lastEventNumber().isPresent());
  }

  private boolean hasTimeToResend() {
    return request.deadlineNanos() - System.nanoTime() > MIN_RESEND_NANOS;
  }

  private void admit() {
    long limitMillis =
        Math.min(route.timeoutMillis(), metadata.deadlineMillis().orElse(route.timeoutMillis()));
    request =
        CallerRequests.toDispatchRequest(
            head, body, metadata, route, customerAccess, arrivedNanos, limitMillis);
    deadlineTimer =
        components
            .loop()
            .schedule(
                () -> end("deadline", DispatchResult.Cause.WAITED),
                limitMillis + DEADLINE_GRACE_MILLIS,
                TimeUnit.MILLISECONDS);
    Optional<CustomerQuota> quota = customerAccess.flatMap(CustomerAccess::quota);
    if (quota.isEmpty()) {
      submit();
      return;
    }
    double cost = quota.get().cost(metadata.tokens());
    quotaHold = new QuotaHold(customerAccess.get().name(), cost, this);
    components.quotas().admit(quotaHold);
  }

  @Override
  public void quotaGranted() {
    submit();
  }

  private void submit() {
    components.streamOrigins().resolve(route, metadata, request, this::dispatch);
  }

  /** Dispatches the request; one that takes up a stream only to servers at which it can go on. */
  private void dispatch(Optional<DispatchRequest> resolved) {
    if (finished) {
      return;
    }
    if (resolved.isPresent()) {
      request = resolved.get();
      handleDispatch(components.dispatcher().submit(request, System.nanoTime()));
    } else {
      refuse(DispatchResult.Cause.UNKNOWN_ORIGIN);
    }
  }

  @Override
  public void quotaExceeded(QuotaExcess excess) {
    quotaExcess = Optional.of(excess);
    components.metrics().recordQuotaRefusal(quotaHold.customer());
    long retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(excess.retryAfterNanos());
    replyRefused(
        HttpResponseStatus.TOO_MANY_REQUESTS, DispatchResult.Cause.QUOTA, retryAfterMillis);
  }

  private void handleDispatch(DispatchResult result) {
    switch (result) {
      case DispatchResult.Sent(Selection.Chosen choice) -> sendTo(choice);
      case DispatchResult.Queued(QueueEntry entry) -> {
        queueEntry = entry;
        components.queuedExchanges().enqueue(entry, this);
      }
      case DispatchResult.Refused(DispatchResult.Cause cause) -> refuse(cause);
    }
  }

  private void sendTo(Selection.Chosen chosen) {
    sendCount++;
    choice = chosen;
    long now = System.nanoTime();
    if (sendCount == 1) {
      waitedNanos = now - arrivedNanos;
    }
    Backend backend = choice.backend();
    components.metrics().recordSend(route.kind(), choice.reason(), now - arrivedNanos);
    SendContext context =
        new SendContext(
            backend.entry().id(),
            Math.max(1, (request.deadlineNanos() - now) / 1_000_000),
            customerAccess,
            chosen
                .cacheDirectives()
                .map(cache -> new SendContext.Engine(chosen.urgency(request), cache)),
            relay.started() ? relay.lastEventNumber() : OptionalLong.empty());
    send = new ServerSend(components, this, choice, request, route, context);
    send.start(head, body);
  }

  /** Answers the request although it is still in progress, for a reason on this side. */
  void end(String cause, DispatchResult.Cause refusal) {
    if (finished) {
      return;
    }
    if (queueEntry != null) {
      components.queuedExchanges().withdraw(queueEntry);
      refuseFromQueue(refusal);
      return;
    }
    boolean sent = send != null && send.sent();
    if (send != null) {
      send.cancel();
    }
    if (sent || progress.mayHaveRun()) {
      replyFailed(HttpResponseStatus.GATEWAY_TIMEOUT, cause);
    } else {
      refuse(refusal);
    }
  }

  private void conclude(NextStep step, DispatchResult.Cause refusal, String cause) {
    switch (step) {
      case REFUSE -> refuse(refusal);
      case PASS_ON -> {
        PlainResponse serverResponse = serverErrorResponse;
        serverErrorResponse = null;
        relayResponse(serverResponse);
      }
      case ANSWER_UNKNOWN -> replyFailed(HttpResponseStatus.BAD_GATEWAY, cause);
      case BREAK_OFF -> replyFailed(HttpResponseStatus.BAD_GATEWAY, cause);
      default -> throw new IllegalStateException("unexpected step " + step);
    }
  }

  private void relayResponse(PlainResponse serverResponse) {
    if (callerDisconnected) {
      serverResponse.body().release();
      finish("caller_left", serverResponse.status().code(), null);
      return;
    }
    if (serverResponse.impliesNotExecuted()) {
      serverResponse.body().release();
      replyFailed(HttpResponseStatus.BAD_GATEWAY, "status " + serverResponse.status().code());
      return;
    }
    response.sendFull(serverResponse.status(), serverResponse.headers(), serverResponse.body());
    boolean success = serverResponse.status().codeClass() == HttpStatusClass.SUCCESS;
    finish(success ? "answered" : "server_failure", serverResponse.status().code(), null);
  }

  private void refuse(DispatchResult.Cause cause) {
    if (progress.mayHaveRun() || relay.started()) {
      replyFailed(HttpResponseStatus.BAD_GATEWAY, cause.name());
      return;
    }
    long retryAfterMillis =
        components
            .dispatcher()
            .retryAfterMillis(Optional.ofNullable(request), cause, System.nanoTime());
    replyRefused(HttpResponseStatus.SERVICE_UNAVAILABLE, cause, retryAfterMillis);
  }

  /** Ends the request, which has not run and never will. */
  private void replyRefused(
      HttpResponseStatus status, DispatchResult.Cause cause, long retryAfterMillis) {
    components.metrics().recordRefusal(cause);
    if (quotaHold != null) {
      components.quotas().release(quotaHold, false);
    }
    HttpHeaders headers = CallerConnection.emptyHeaders();
    headers.set(HttpHeaderNames.RETRY_AFTER, CallerConnection.retryAfter(retryAfterMillis));
    reply(status, headers, "refused", cause.name());
  }

  private void replyFailed(HttpResponseStatus status, String cause) {
    reply(status, CallerConnection.emptyHeaders(), "failed", cause);
  }

  /** Ends the request with a response without a body, or breaks off a stream that has begun. */
  private void reply(HttpResponseStatus status, HttpHeaders headers, String outcome, String cause) {
    if (relay.started()) {
      response.abort();
      finish("broken_off", 0, cause);
      return;
    }
    response.sendFull(status, headers, Unpooled.EMPTY_BUFFER);
    finish(outcome, status.code(), cause);
  }

  private void finish(String outcome, int status, String cause) {
    if (finished) {
      return;
    }
    finished = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (serverErrorResponse != null) {
      serverErrorResponse.body().release();
      serverErrorResponse = null;
    }
    if (quotaHold != null) {
      components.quotas().release(quotaHold, sendCount > 0);
    }
    relay.release();
    body.release();
    long total = System.nanoTime() - arrivedNanos;
    if (route != null) {
      components.metrics().recordRequest(route.kind(), outcome, total);
    }
    logRequest(outcome, status, cause, total);
  }

  private void logFailure(ServerSend from, SendFailure failure, String cause, NextStep step) {
    from.logFailure(
        failure, cause, relay.eventCount(), step, metadata.sharedPartIds().orElse(null));
  }

  private void logRequest(String outcome, int status, String cause, long totalNanos) {
    RequestLog.write(
        components.log(),
        metadata,
        new RequestLog.Handling(
            Optional.ofNullable(route).map(Route::name),
            customerAccess.map(CustomerAccess::name),
            Optional.ofNullable(request),
            Optional.ofNullable(choice),
            quotaExcess,
            configVersion,
            sendCount),
        new RequestLog.Ending(
            outcome,
            status,
            Optional.ofNullable(cause),
            waitedNanos,
            firstByteNanos,
            totalNanos,
            relay.eventCount()));
  }
}

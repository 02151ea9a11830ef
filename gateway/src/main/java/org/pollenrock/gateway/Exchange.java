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
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.AdmissionPolicy;
import org.pollenrock.core.dispatch.CacheDirectives;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.FailurePolicy;
import org.pollenrock.core.dispatch.NextStep;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.QueueEntry;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.dispatch.SendState;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.route.CustomerAccess;
import org.pollenrock.core.route.Route;
import org.pollenrock.core.route.RouteDecision;
import org.pollenrock.core.route.RouteKind;
import org.pollenrock.core.route.RoutingConfig;

/**
 * One request of a caller from its last byte to the end of its answer.
 *
 * <p>Goes through routing, waiting, one send or several, and the relay of the answer.
 */
final class Exchange implements ServerSend.Owner {
  /** Time beyond the deadline for which an answer of the server is still awaited. */
  private static final long DEADLINE_GRACE_MILLIS = 120;

  /** Time left below which a request isn't sent again. */
  private static final long MIN_RESEND_NANOS = 30_000_000L;

  /** Time after which a caller comes back that was refused before its request was looked at. */
  private static final long EARLY_RETRY_AFTER_MILLIS = 300;

  private final ExchangeScope scope;
  private final HttpRequest head;
  private final ByteBuf body;
  private final CallerResponse response;
  private final CallerRequestMetadata call;
  private final StreamRelay relay;
  private final long arrivedNanos = System.nanoTime();
  private final Set<String> tried = new LinkedHashSet<>();

  private Route route;
  private Optional<CustomerAccess> customer = Optional.empty();
  private long configVersion;
  private DispatchRequest request;
  private ScheduledFuture<?> deadline;
  private QueueEntry waiting;
  private ServerSend send;
  private Selection.Chosen choice;
  private long waitedNanos;
  private PlainAnswer serverError;
  private int sends;
  private int runs;
  private int refusals;
  private boolean mayHaveRun;
  private boolean callerLeft;
  private boolean done;
  private boolean memoryHeld;
  private long firstByteNanos;

  Exchange(ExchangeScope scope, HttpRequest head, ByteBuf body, CallerResponse response) {
    this.scope = scope;
    this.head = head;
    this.body = body;
    this.response = response;
    this.call = scope.callers().decode(head);
    this.relay = new StreamRelay(response, body.alloc(), call.lastEventNumber());
  }

  /** Routes the request and sends it, lets it wait, or answers it. */
  void run() {
    if (scope.stopping().getAsBoolean()) {
      refuse(DispatchResult.Cause.STOPPING);
      return;
    }
    Optional<RoutingConfig> config = scope.configs().current();
    if (config.isEmpty()) {
      refuse(DispatchResult.Cause.NO_CONFIGURATION);
      return;
    }
    configVersion = config.get().version();
    String host = head.headers().get(HttpHeaderNames.HOST, "");
    switch (config.get().decide(host, head.uri(), call.apiKey())) {
      case RouteDecision.NoRoute() -> answerOwn(HttpResponseStatus.NOT_FOUND, "no_route");
      case RouteDecision.UnknownKey(Route matched) -> {
        route = matched;
        answerOwn(HttpResponseStatus.UNAUTHORIZED, "unknown_key");
      }
      case RouteDecision.Allowed(Route matched, Optional<CustomerAccess> owner) -> {
        route = matched;
        customer = owner;
        admit();
      }
    }
  }

  /** The caller closed its connection. */
  void callerLeft() {
    if (done) {
      return;
    }
    callerLeft = true;
    if (waiting != null) {
      scope.queuedExchanges().leave(waiting);
      waiting = null;
    }
    if (send != null && send.sent() && route.kind() == RouteKind.NON_IDEMPOTENT) {
      // Closing the connection would not undo a run; the answer keeps the connection usable.
      return;
    }
    if (send != null) {
      send.cancel();
    }
    finish("caller_left", 0, null);
  }

  /** The caller reads again after a pause. */
  void callerKeepsUp() {
    if (send != null) {
      send.reading(true);
    }
  }

  /** A server became free while the request waited. */
  void released(Selection.Chosen choice) {
    waiting = null;
    sendTo(choice);
  }

  /** The request waited as long as it may. */
  void waitedTooLong() {
    waiting = null;
    refuse(DispatchResult.Cause.WAITED);
  }

  @Override
  public void streamBegins(ServerSend from, HttpResponse answer) {
    relay.begin(answer);
  }

  @Override
  public void streamBytes(ServerSend from, ByteBuf bytes) {
    if (!relay.push(bytes)) {
      from.reading(false);
    }
    if (firstByteNanos == 0 && relay.started()) {
      firstByteNanos = System.nanoTime() - arrivedNanos;
      scope.metrics().firstByte(route.kind(), firstByteNanos);
    }
    if (relay.overflowed()) {
      from.cancel();
      sendFailed(from, SendFailure.BROKEN, "event too long");
    }
  }

  @Override
  public void streamEnds(ServerSend from) {
    if (relay.cutShort() || !relay.started()) {
      sendFailed(from, SendFailure.BROKEN, "stream ends before an event does");
      return;
    }
    relay.end();
    finish("streamed", HttpResponseStatus.OK.code(), null);
  }

  @Override
  public void answered(ServerSend from, PlainAnswer answer) {
    boolean failed = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (!failed) {
      passOn(answer);
      return;
    }
    if (serverError != null) {
      serverError.body().release();
    }
    serverError = answer;
    sendFailed(from, SendFailure.SERVER_ERROR, "status " + answer.status().code());
  }

  @Override
  public boolean canResend() {
    return route.isRepeatable()
        && runs + 1 < route.maxAttempts()
        && (!relay.started() || relay.lastEvent().isPresent());
  }

  @Override
  public void sendFailed(ServerSend from, SendFailure failure, String cause) {
    send = null;
    if (failure != SendFailure.OTHER_WEIGHTS) {
      tried.add(from.backend().entry().id());
    }
    if (failure.certainlyNotRun()) {
      refusals++;
    } else {
      runs++;
      mayHaveRun = true;
    }
    scope.metrics().sendFailed(route.kind(), failure);
    SendState state =
        new SendState(
            route.isRepeatable(),
            mayHaveRun,
            runs,
            route.maxAttempts(),
            refusals,
            relay.started(),
            route.resumable() && relay.lastEvent().isPresent());
    NextStep step = FailurePolicy.nextStep(failure, state);
    logFailure(from, failure, cause, step);
    if (callerLeft) {
      finish("caller_left", 0, cause);
      return;
    }
    boolean again = step == NextStep.RESEND || step == NextStep.RESUME;
    if (again && request.deadlineNanos() - System.nanoTime() > MIN_RESEND_NANOS) {
      boolean counted = failure != SendFailure.NOT_SENT;
      DispatchResult next = scope.dispatcher().resubmit(request, tried, counted, System.nanoTime());
      if (next instanceof DispatchResult.Refused refused) {
        conclude(FailurePolicy.finalStep(failure, state), refused.cause(), cause);
      } else {
        follow(next);
      }
      return;
    }
    NextStep last = again ? FailurePolicy.finalStep(failure, state) : step;
    conclude(last, DispatchResult.Cause.SERVERS_REFUSED, cause);
  }

  private void admit() {
    memoryHeld = scope.memory().tryHold(body.readableBytes());
    if (!memoryHeld) {
      refuse(DispatchResult.Cause.MEMORY);
      return;
    }
    long limitMillis =
        Math.min(route.timeoutMillis(), call.deadlineMillis().orElse(route.timeoutMillis()));
    request =
        new DispatchRequest(
            call.id(),
            route.serviceFor(call.id()),
            route.prefixAffinity() ? call.prompt() : Optional.empty(),
            cacheScope(),
            route.urgency(
                customer.map(CustomerAccess::priority).orElse(OptionalInt.empty()),
                call.prompt().map(Prompt::tokens).orElse(0)),
            route.isRepeatable(),
            route.targetLatencyMillis(),
            arrivedNanos,
            arrivedNanos + limitMillis * 1_000_000);
    deadline =
        scope
            .loop()
            .schedule(
                this::deadlinePassed, limitMillis + DEADLINE_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    follow(scope.dispatcher().submit(request, arrivedNanos));
  }

  private void follow(DispatchResult dispatch) {
    switch (dispatch) {
      case DispatchResult.Sent(Selection.Chosen choice) -> sendTo(choice);
      case DispatchResult.Queued(QueueEntry place) -> {
        waiting = place;
        scope.queuedExchanges().enter(place, this);
      }
      case DispatchResult.Refused(DispatchResult.Cause cause) -> refuse(cause);
    }
  }

  private void sendTo(Selection.Chosen chosen) {
    sends++;
    choice = chosen;
    long now = System.nanoTime();
    if (sends == 1) {
      waitedNanos = now - arrivedNanos;
    }
    Backend backend = choice.backend();
    scope.metrics().sent(route.kind(), choice.reason(), now - arrivedNanos);
    SendContext context =
        new SendContext(
            backend.entry().id(),
            Math.max(1, (request.deadlineNanos() - now) / 1_000_000),
            customer,
            chosen.cache().map(cache -> new SendContext.EngineContext(request.urgency(), cache)),
            relay.started() ? relay.lastEvent() : OptionalLong.empty());
    send = new ServerSend(scope, this, choice, request, route, context);
    send.start(head, body);
  }

  /** Customers whose prompts are isolated have a scope of their own. */
  private String cacheScope() {
    return customer
        .filter(CustomerAccess::isolated)
        .map(owner -> "customer-" + owner.name())
        .orElse("shared");
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    if (waiting != null) {
      scope.queuedExchanges().leave(waiting);
      waitedTooLong();
      return;
    }
    boolean sent = send != null && send.sent();
    if (send != null) {
      send.cancel();
    }
    if (relay.started()) {
      response.breakOff();
      finish("broken_off", 0, "deadline");
    } else if (sent || mayHaveRun) {
      answerOwn(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline");
    } else {
      refuse(DispatchResult.Cause.WAITED);
    }
  }

  private void conclude(NextStep step, DispatchResult.Cause refusal, String cause) {
    switch (step) {
      case REFUSE -> refuse(refusal);
      case PASS_ON -> {
        PlainAnswer answer = serverError;
        serverError = null;
        passOn(answer);
      }
      case ANSWER_UNKNOWN -> answerOwn(HttpResponseStatus.BAD_GATEWAY, cause);
      case BREAK_OFF -> {
        response.breakOff();
        finish("broken_off", 0, cause);
      }
      default -> throw new IllegalStateException("step " + step);
    }
  }

  private void passOn(PlainAnswer answer) {
    if (callerLeft) {
      answer.body().release();
      finish("caller_left", answer.status().code(), null);
      return;
    }
    if (ServerSend.wouldPromiseNotRun(answer.status())) {
      answer.body().release();
      answerOwn(HttpResponseStatus.BAD_GATEWAY, "status " + answer.status().code());
      return;
    }
    response.full(answer.status(), answer.headers(), answer.body());
    boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
    finish(success ? "answered" : "server_failure", answer.status().code(), null);
  }

  private void refuse(DispatchResult.Cause cause) {
    if (relay.started()) {
      response.breakOff();
      finish("broken_off", 0, cause.name());
      return;
    }
    if (mayHaveRun) {
      answerOwn(HttpResponseStatus.BAD_GATEWAY, cause.name());
      return;
    }
    scope.metrics().refused(cause);
    long retryAfterMillis =
        request == null
            ? EARLY_RETRY_AFTER_MILLIS
            : AdmissionPolicy.retryAfterMillis(request, System.nanoTime());
    HttpHeaders headers = CallerConnection.noHeaders();
    headers.set(
        HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1000.0));
    answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, "refused", cause.name());
  }

  private void answerOwn(HttpResponseStatus status, String cause) {
    answer(status, CallerConnection.noHeaders(), "failed", cause);
  }

  private void answer(
      HttpResponseStatus status, HttpHeaders headers, String outcome, String cause) {
    response.full(status, headers, Unpooled.EMPTY_BUFFER);
    finish(outcome, status.code(), cause);
  }

  private void finish(String outcome, int status, String cause) {
    if (done) {
      return;
    }
    done = true;
    if (deadline != null) {
      deadline.cancel(false);
    }
    if (serverError != null) {
      serverError.body().release();
      serverError = null;
    }
    relay.release();
    if (memoryHeld) {
      scope.memory().free(body.readableBytes());
    }
    body.release();
    long total = System.nanoTime() - arrivedNanos;
    if (route != null) {
      scope.metrics().request(route.kind(), outcome, total);
    }
    logEnd(outcome, status, cause, total);
  }

  private void logFailure(ServerSend from, SendFailure failure, String cause, NextStep step) {
    Backend backend = from.backend();
    long now = System.nanoTime();
    scope
        .log()
        .line("send_failed")
        .with("id", call.id())
        .with("server", backend.entry().id())
        .with("address", backend.entry().address())
        .with("failure", failure.name())
        .with("cause", cause)
        .with("server_load", (long) backend.load(now))
        .with("server_silent_ms", backend.silentNanos(now) / 1_000_000)
        .with("events", relay.events())
        .with("next", step.name())
        .write();
  }

  private void logEnd(String outcome, int status, String cause, long totalNanos) {
    boolean good = cause == null && sends == 1 && call.unreadableHeaders().isEmpty();
    scope
        .log()
        .line("request", good ? EventLog.Importance.ROUTINE : EventLog.Importance.ESSENTIAL)
        .with("id", call.id())
        .with("route", route == null ? null : route.name())
        .with("customer", customer.map(CustomerAccess::name).orElse(null))
        .with("service", request == null ? null : request.service())
        .with("config", configVersion)
        .with("urgency", request == null ? -1 : request.urgency())
        .with("outcome", outcome)
        .with("status", status)
        .with("cause", cause)
        .with("sends", sends)
        .with("server", lastServer())
        .with("placement", choice == null ? null : choice.reason().name())
        .with("fetched_from", fetchedFrom())
        .with("prompt", call.prompt().map(Prompt::affinityHash).map(Long::toHexString).orElse(null))
        .with("weights", servedWeights())
        .with("cache_scope", request == null ? null : request.cacheScope())
        .with("prompt_tokens", request == null ? 0 : request.promptTokens())
        .with("shared_tokens", sharedTokens())
        .with("waited_ms", waitedNanos / 1_000_000)
        .with("events", relay.events())
        .with("first_byte_ms", firstByteNanos / 1_000_000)
        .with("total_ms", totalNanos / 1_000_000)
        .with("unreadable_headers", unreadableHeaders())
        .write();
  }

  private String unreadableHeaders() {
    return call.unreadableHeaders().isEmpty() ? null : String.join(",", call.unreadableHeaders());
  }

  private String lastServer() {
    return choice == null ? null : choice.backend().entry().id();
  }

  private long servedWeights() {
    if (choice == null || call.prompt().isEmpty()) {
      return 0;
    }
    return choice.backend().weightsVersion(call.prompt().get().model()).orElse(0);
  }

  private String fetchedFrom() {
    return choice == null ? null : choice.cache().flatMap(CacheDirectives::fetchFrom).orElse(null);
  }

  private long sharedTokens() {
    return call.prompt().map(Prompt::sharedTokens).orElse(0);
  }
}

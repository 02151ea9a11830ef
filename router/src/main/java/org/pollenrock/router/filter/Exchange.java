package org.pollenrock.router.filter;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.retry.RetryPolicy;
import org.pollenrock.core.settings.ApiKeyOwner;
import org.pollenrock.router.caller.CallerRequest;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.caller.ResponseListener;
import org.pollenrock.router.caller.ResponseSink;
import org.pollenrock.router.decision.Choice;
import org.pollenrock.router.decision.EngineQuestion;
import org.pollenrock.router.settings.RequestValues;
import org.pollenrock.router.settings.RouterSettings;

/** One request on its way through the filters; confined to the event loop of its caller. */
public final class Exchange implements ResponseListener {
  private static final Logger LOG = LogManager.getLogger(Exchange.class);

  private final CallerRequest request;
  private final ResponseSink sink;
  private final FilterChain chain;
  private final String requestId;
  private final long arrivedNanos;
  private final Optional<RouterSettings> settings;
  private final Set<BackendServerId> avoided = new HashSet<>();
  private final List<Runnable> atEnd = new ArrayList<>();
  private final StreamRelay stream = new StreamRelay();

  private Step step = Step.READ;
  private ParsedCall call = new ParsedCall.Other();
  private ApiKeyOwner caller;
  private RequestValues values;
  private Route route;
  private PromptShape prompt;
  private long deadlineNanos;
  private Choice choice;
  private Attempt attempt;
  private int attempts;
  private RunState earlierRunState = RunState.NOT_RUN;
  private SendMode sendMode = new SendMode.Fresh();
  private ClaimTicket claim;
  private boolean freshConnection;
  private OptionalLong retryAfterSeconds = OptionalLong.empty();
  private ExchangeEnd end;

  Exchange(
      CallerRequest request,
      ResponseSink sink,
      FilterChain chain,
      String requestId,
      long arrivedNanos,
      Optional<RouterSettings> settings) {
    this.request = request;
    this.sink = sink;
    this.chain = chain;
    this.requestId = requestId;
    this.arrivedNanos = arrivedNanos;
    this.settings = settings;
  }

  void start() {
    sink.listener(this);
    apply(Step.READ);
  }

  /** Goes on with the next filter; has no effect after the end. */
  void proceed() {
    if (end == null) {
      apply(Step.values()[step.ordinal() + 1]);
    }
  }

  /** Goes back to an earlier filter for another attempt; has no effect after the end. */
  void repeatFrom(Step earlier) {
    if (end == null) {
      apply(earlier);
    }
  }

  /** Ends the request with an error that is true for all of its attempts together. */
  void fail(RequestError error) {
    RunState all = RetryPolicy.combineRunStates(earlierRunState, error.runState());
    RequestError combined =
        all == error.runState()
            ? error
            : Errors.of(all, error.code(), error.step(), error.peer(), error.message());
    finish(new ExchangeEnd.Failed(combined));
  }

  /** Refuses the request at the current step: it did not run. */
  void refuse(ErrorCode code, String message) {
    fail(new RequestError.Refusal(code, step, Optional.empty(), message));
  }

  /** Ends the request once; later calls have no effect. */
  void finish(ExchangeEnd how) {
    if (end != null) {
      return;
    }
    end = how;
    apply(Step.FINISH);
  }

  private void apply(Step next) {
    step = next;
    try {
      chain.at(next).apply(this);
    } catch (RuntimeException e) {
      LOG.error("filter {} failed", next, e);
      if (next != Step.FINISH) {
        fail(internalError());
      }
    }
  }

  private RequestError internalError() {
    String message = "the router failed";
    return attempts == 0
        ? new RequestError.Refusal(ErrorCode.INTERNAL_ERROR, step, Optional.empty(), message)
        : new RequestError.Uncertain(ErrorCode.INTERNAL_ERROR, step, Optional.empty(), message);
  }

  /** Runs a task on the exchange's event loop, unless the request has ended by then. */
  void onLoop(Runnable task) {
    onLoop(task, () -> {});
  }

  /** Runs a task on the exchange's event loop, or another one when the request has ended. */
  void onLoop(Runnable task, Runnable whenEnded) {
    loop()
        .execute(
            () -> {
              if (end == null) {
                runSafely(task);
              } else {
                whenEnded.run();
              }
            });
  }

  /** Runs a task after a delay, unless the request ends before. */
  void after(long delayNanos, Runnable task) {
    var timer = loop().schedule(() -> onLoop(task), delayNanos, TimeUnit.NANOSECONDS);
    atEnd(() -> timer.cancel(false));
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("step {} failed", step, e);
      fail(internalError());
    }
  }

  /** Registers what has to be undone when the request ends, however it ends. */
  void atEnd(Runnable action) {
    atEnd.add(action);
  }

  void runEndActions() {
    atEnd.forEach(Runnable::run);
    atEnd.clear();
  }

  @Override
  public void writabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.callerWritable(writable);
    }
  }

  @Override
  public void disconnected() {
    finish(new ExchangeEnd.CallerGone());
  }

  @Override
  public void stopping() {
    if (stream.started()) {
      return;
    }
    retryAfterSeconds(1);
    fail(Errors.stopping(this));
  }

  /** Headers that every response of this request carries. */
  HttpHeaders baseHeaders() {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(ResponseHeaders.REQUEST_ID, requestId);
    settings.ifPresent(known -> headers.set(ResponseHeaders.REVISION, known.revision()));
    return headers;
  }

  CallerRequest request() {
    return request;
  }

  ResponseSink sink() {
    return sink;
  }

  EventLoop loop() {
    return sink.loop();
  }

  String requestId() {
    return requestId;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  Optional<RouterSettings> settings() {
    return settings;
  }

  /** The settings, once a filter has checked that there are some. */
  RouterSettings knownSettings() {
    return settings.orElseThrow();
  }

  Step step() {
    return step;
  }

  ParsedCall call() {
    return call;
  }

  void call(ParsedCall parsed) {
    call = parsed;
  }

  ApiKeyOwner caller() {
    return caller;
  }

  Optional<ApiKeyOwner> knownCaller() {
    return Optional.ofNullable(caller);
  }

  void caller(ApiKeyOwner identity) {
    caller = identity;
  }

  RequestValues values() {
    return values;
  }

  void values(RequestValues inForce) {
    values = inForce;
  }

  Route route() {
    return route;
  }

  void route(Route resolved) {
    route = resolved;
  }

  void prompt(PromptShape shape) {
    prompt = shape;
  }

  /** The question for an engine that avoids the servers that failed already. */
  EngineQuestion engineQuestion() {
    return new EngineQuestion(
        requestId,
        caller.customer(),
        ((Route.Model) route).model(),
        prompt.blocks(),
        prompt.levelEnds(),
        values,
        avoided);
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  void deadlineNanos(long nanos) {
    deadlineNanos = nanos;
  }

  Choice choice() {
    return choice;
  }

  void choice(Choice chosen) {
    choice = chosen;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Begins an attempt; the previous one has ended or been cancelled. */
  void begin(Attempt next) {
    attempt = next;
    attempts++;
  }

  int attempts() {
    return attempts;
  }

  Set<BackendServerId> avoided() {
    return avoided;
  }

  RunState earlierRunState() {
    return earlierRunState;
  }

  void earlierRunState(RunState combined) {
    earlierRunState = combined;
  }

  /** The streamed response over all attempts. */
  StreamRelay stream() {
    return stream;
  }

  SendMode sendMode() {
    return sendMode;
  }

  /** Sets how the next attempt is sent. */
  void sendMode(SendMode mode) {
    sendMode = mode;
  }

  /** The claim under which the call is sent, empty when it needs none. */
  Optional<ClaimTicket> claim() {
    return Optional.ofNullable(claim);
  }

  void claim(ClaimTicket granted) {
    claim = granted;
  }

  /** Whether the next attempt must not use an open connection: one of them was found silent. */
  boolean freshConnection() {
    return freshConnection;
  }

  void freshConnection(boolean needed) {
    freshConnection = needed;
  }

  void retryAfterSeconds(long seconds) {
    retryAfterSeconds = OptionalLong.of(seconds);
  }

  OptionalLong retryAfterSeconds() {
    return retryAfterSeconds;
  }

  ExchangeEnd end() {
    return end;
  }
}

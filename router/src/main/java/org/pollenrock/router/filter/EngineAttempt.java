package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.pollenrock.adapters.engine.EngineExchange;
import org.pollenrock.adapters.engine.EngineFailure;
import org.pollenrock.adapters.engine.EngineHead;
import org.pollenrock.adapters.engine.EngineListener;
import org.pollenrock.adapters.engine.EngineRequest;
import org.pollenrock.adapters.engine.SseEvent;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.retry.FailedAttempt;
import org.pollenrock.core.retry.FailureKind;
import org.pollenrock.core.stream.AttemptId;
import org.pollenrock.core.stream.ExpectedResponse;
import org.pollenrock.core.stream.ResponseIdentity;
import org.pollenrock.core.stream.StreamAction;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.decision.AttemptEnd;
import org.pollenrock.router.decision.Choice;
import org.pollenrock.router.decision.ProgressDeadline;
import org.pollenrock.router.decision.WatchedExchange;

/** One send of a completion to an engine. */
final class EngineAttempt implements Attempt, EngineListener, WatchedExchange {
  private static final int OK = 200;
  private static final int MAX_MESSAGE_CHARS = 300;

  /** Tokens assumed for an answer whose length the caller did not bound. */
  private static final long UNBOUNDED_ANSWER_TOKENS = 1_024;

  /** Tokens that a working engine decodes at least within the longest gap between two tokens. */
  private static final int TOKENS_WITHIN_GAP = 8;

  private final Exchange exchange;
  private final Choice.Engine choice;
  private final AttemptContext context;
  private final ParsedCall.Completion call;
  private final AttemptId attemptId;
  private final SendMode mode;
  private final long watchId;

  private EngineExchange work;
  private EngineHead head;
  private boolean over;
  private boolean answerNoted;
  private boolean tokenRelayed;
  private volatile long progressNanos;
  private volatile boolean heldBack;

  EngineAttempt(Exchange exchange, Choice.Engine choice, AttemptContext context) {
    this.exchange = exchange;
    this.choice = choice;
    this.context = context;
    this.call = (ParsedCall.Completion) exchange.call();
    this.attemptId = context.attemptIds().next();
    this.mode = exchange.sendMode();
    this.watchId = context.decisions().nextTicket();
  }

  void send() {
    progressNanos = now();
    long left = exchange.deadlineNanos() - progressNanos;
    if (call.streamed()) {
      exchange.stream().startAttempt(attemptId, mode.indexOffset());
    }
    EngineRequest request =
        new EngineRequest(
            choice.engine(),
            exchange.request().path(),
            body(),
            call.streamed(),
            attemptId.headerValue(),
            Optional.of(choice.placement().incarnation()),
            Optional.of(choice.placement().weights()),
            exchange.values().effective().priority(),
            OptionalLong.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left))),
            choice.placement().chain().keys(),
            mode instanceof SendMode.Resume resume ? resume.lastEventId() : OptionalLong.empty(),
            exchange.freshConnection() ? ConnectionUse.FRESH : ConnectionUse.ANY);
    context.decisions().watch(choice.server(), watchId, this, deadline());
    work = context.engines().open(request, this);
  }

  /** A run that continues another one is resumed with the body that started it. */
  private byte[] body() {
    String salt = exchange.caller().customer().value();
    long offset = mode.indexOffset();
    return offset == 0
        ? CompletionBody.forEngine(call, salt)
        : CompletionBody.continuation(
            call, salt, exchange.stream().text(offset).orElseThrow(), offset);
  }

  private ProgressDeadline deadline() {
    double expected =
        choice.placement().candidates().isEmpty()
            ? 0
            : choice.placement().candidates().get(0).cost().ttftNanos();
    long first =
        Math.max(
            context.times().leastFirstToken().toNanos(),
            (long) (expected * context.times().firstTokenFactor()));
    long between = context.times().betweenTokens().toNanos();
    if (call.streamed()) {
      return new ProgressDeadline(first, between);
    }
    // An answer that is not streamed arrives at its end, after all of its tokens.
    long tokens = call.maxTokens().orElse(UNBOUNDED_ANSWER_TOKENS);
    long left = exchange.deadlineNanos() - now();
    double whole = first + (double) tokens * between / TOKENS_WITHIN_GAP;
    return new ProgressDeadline((long) Math.min(left, whole), between);
  }

  private long now() {
    return context.nanoClock().getAsLong();
  }

  @Override
  public long lastProgressNanos() {
    return heldBack ? now() : progressNanos;
  }

  @Override
  public void silent() {
    onLoop(() -> failed(FailureKind.TIMED_OUT, runStateSoFar(), true));
  }

  @Override
  public void onHead(EngineHead answerHead) {
    // An engine may send the head before its prefill, so only a token counts as progress.
    onLoop(
        () -> {
          head = answerHead;
          exchange.proceed();
        });
  }

  @Override
  public void onEvent(SseEvent event) {
    progressNanos = now();
    onLoop(() -> relayEvent(event));
  }

  @Override
  public void onBody(byte[] body) {
    onLoop(() -> relayBody(body));
  }

  @Override
  public void onEnd() {
    onLoop(() -> failed(FailureKind.CONNECTION_LOST, RunState.RAN, true));
  }

  @Override
  public void onFailure(EngineFailure failure) {
    onLoop(() -> failed(failure));
  }

  private void onLoop(Runnable task) {
    exchange.onLoop(
        () -> {
          if (!over) {
            task.run();
          }
        });
  }

  @Override
  public boolean verified() {
    ExpectedResponse expected =
        new ExpectedResponse(
            attemptId,
            Optional.of(choice.placement().incarnation()),
            Optional.of(choice.placement().weights()));
    ResponseIdentity actual =
        new ResponseIdentity(AttemptId.parse(head.attemptId()), head.incarnation(), head.weights());
    if (context.verifier().verify(expected, actual).canRelay()) {
      return true;
    }
    context.decisions().engineRefused(choice, head);
    failed(FailureKind.ANSWER_MISMATCH, RunState.UNKNOWN, true);
    return false;
  }

  @Override
  public void relay() {
    callerWritable(exchange.sink().writable());
  }

  private void relayEvent(SseEvent event) {
    if (event.isDone()) {
      relayEnd();
      return;
    }
    if (event.type().equals("error")) {
      failed(FailureKind.SERVER_ERROR, runStateSoFar(), true);
      return;
    }
    OptionalLong index = index(event);
    if (index.isEmpty()) {
      relayUnnumbered(event);
      return;
    }
    noteAnswer();
    switch (exchange.stream().event(attemptId, event, index.getAsLong())) {
      case StreamAction.Relay<SseEvent>(long position, SseEvent token) -> {
        startStream();
        tokenRelayed = true;
        Optional<String> id = Optional.of(Long.toString(position));
        exchange.sink().sendPart(EventText.of(id, token.data()));
      }
      case StreamAction.CancelAttempt<SseEvent> broken ->
          failed(FailureKind.ANSWER_MISMATCH, runStateSoFar(), true);
      case StreamAction.Drop<SseEvent> drop -> {
        // A token that was relayed before the stream was resumed.
      }
      case StreamAction.Complete<SseEvent> complete ->
          throw new IllegalStateException("a token cannot end a stream");
    }
  }

  /** Events such as usage figures carry no index; a resumed run repeats none of them. */
  private void relayUnnumbered(SseEvent event) {
    noteAnswer();
    startStream();
    exchange.sink().sendPart(EventText.of(Optional.empty(), event.data()));
  }

  private void relayEnd() {
    if (!(exchange.stream().endMarker(attemptId) instanceof StreamAction.Complete<SseEvent>)) {
      failed(FailureKind.ANSWER_MISMATCH, runStateSoFar(), true);
      return;
    }
    noteAnswer();
    startStream();
    end(AttemptEnd.COMPLETED);
    completeStream();
  }

  private void completeStream() {
    exchange.sink().sendPart(EventText.of(Optional.empty(), SseEvent.DONE));
    exchange.sink().endStream();
    exchange.finish(new ExchangeEnd.Completed());
  }

  private void relayBody(byte[] body) {
    noteAnswer();
    end(AttemptEnd.COMPLETED);
    exchange.sink().sendWhole(OK, headers("application/json"), body);
    exchange.finish(new ExchangeEnd.Completed());
  }

  private void startStream() {
    if (exchange.stream().started()) {
      return;
    }
    exchange.stream().markStarted();
    exchange.sink().startStream(OK, headers("text/event-stream").set("Cache-Control", "no-cache"));
  }

  /** Learns from the first token, or from the whole answer. */
  private void noteAnswer() {
    if (!answerNoted) {
      answerNoted = true;
      context.decisions().engineAnswered(choice, head);
      context.metrics().answered(head.promptTokens(), head.cachedTokens());
    }
  }

  private static OptionalLong index(SseEvent event) {
    if (event.id().isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(event.id().get()));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private HttpHeaders headers(String contentType) {
    return exchange
        .baseHeaders()
        .set("Content-Type", contentType)
        .set(ResponseHeaders.SERVER, choice.server().value())
        .set(ResponseHeaders.CACHED_TOKENS, head.cachedTokens());
  }

  private void failed(EngineFailure failure) {
    switch (failure) {
      case EngineFailure.NotSent notSent ->
          failed(FailureKind.CONNECT_FAILED, RunState.NOT_RUN, false);
      case EngineFailure.Broken broken ->
          failed(FailureKind.CONNECTION_LOST, runStateSoFar(), true);
      case EngineFailure.IdentityDiffers(EngineHead refusal) ->
          refused(FailureKind.REFUSED_IDENTITY, refusal);
      case EngineFailure.Leaving(EngineHead refusal) ->
          refused(FailureKind.REFUSED_LEAVING, refusal);
      case EngineFailure.Rejected rejected -> rejected(rejected);
    }
  }

  private void rejected(EngineFailure.Rejected rejected) {
    int status = rejected.head().status();
    if (status == 429 || status == 503) {
      refused(FailureKind.REFUSED_BUSY, rejected.head());
      return;
    }
    boolean invalid = status >= 400 && status < 500 && status != 408;
    if (!invalid || mode instanceof SendMode.Resume) {
      failed(FailureKind.SERVER_ERROR, runStateSoFar(), true);
      return;
    }
    end(AttemptEnd.REFUSED);
    String message = rejected.message();
    exchange.fail(
        new RequestError.Refusal(
            ErrorCode.MALFORMED_REQUEST,
            Step.SEND,
            Optional.of(choice.peer()),
            "the engine refused the request: "
                + message.substring(0, Math.min(message.length(), MAX_MESSAGE_CHARS))));
  }

  private void refused(FailureKind kind, EngineHead refusal) {
    context.decisions().engineRefused(choice, refusal);
    failed(kind, RunState.NOT_RUN, true);
  }

  private RunState runStateSoFar() {
    return head == null ? RunState.UNKNOWN : RunState.RAN;
  }

  private void failed(FailureKind kind, RunState runState, boolean bytesMayHaveLeft) {
    boolean refusal =
        kind == FailureKind.REFUSED_IDENTITY
            || kind == FailureKind.REFUSED_LEAVING
            || kind == FailureKind.REFUSED_BUSY;
    stop(refusal ? AttemptEnd.REFUSED : AttemptEnd.FAILED);
    exchange.freshConnection(kind == FailureKind.TIMED_OUT);
    if (call.streamed()) {
      exchange.stream().broken(attemptId);
    }
    if (exchange.stream().hasLastToken()) {
      // Another run would generate a token too many.
      completeStream();
      return;
    }
    if (exchange.stream().started()) {
      boolean sameFailed =
          mode instanceof SendMode.Resume && !tokenRelayed || runState == RunState.NOT_RUN;
      context.recovery().broken(exchange, choice, identity(), sameFailed);
      return;
    }
    FailedAttempt failedAttempt =
        new FailedAttempt(kind, choice.peer(), runState, bytesMayHaveLeft, 0);
    context.recovery().failed(exchange, failedAttempt, true);
  }

  private Recovery.Identity identity() {
    return new Recovery.Identity(choice.placement().incarnation(), choice.placement().weights());
  }

  @Override
  public void callerWritable(boolean writable) {
    if (over || work == null) {
      return;
    }
    heldBack = !writable;
    if (writable) {
      progressNanos = now();
      work.resume();
    } else {
      work.suspend();
    }
  }

  @Override
  public void cancel() {
    stop(AttemptEnd.CANCELLED);
  }

  private void stop(AttemptEnd how) {
    if (!over) {
      end(how);
      if (work != null) {
        work.cancel();
      }
    }
  }

  private void end(AttemptEnd how) {
    over = true;
    context.decisions().unwatch(choice.server(), watchId);
    context.decisions().engineEnded(choice, how);
  }
}

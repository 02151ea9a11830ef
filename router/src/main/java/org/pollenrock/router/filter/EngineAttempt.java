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
import org.pollenrock.core.error.Step;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.decision.Choice;

/** One send of a completion to an engine. */
final class EngineAttempt implements Attempt, EngineListener {
  private static final int OK = 200;

  private final Exchange exchange;
  private final Choice.Engine choice;
  private final AttemptContext context;
  private final ParsedCall.Completion call;
  private final String attemptId;
  private EngineExchange work;
  private EngineHead head;
  private boolean over;

  EngineAttempt(Exchange exchange, Choice.Engine choice, AttemptContext context) {
    this.exchange = exchange;
    this.choice = choice;
    this.context = context;
    this.call = (ParsedCall.Completion) exchange.call();
    this.attemptId = context.attemptIds().next();
  }

  void send() {
    long left = exchange.deadlineNanos() - context.nanoClock().getAsLong();
    EngineRequest request =
        new EngineRequest(
            choice.engine(),
            exchange.request().path(),
            CompletionBody.forEngine(call, exchange.caller().customer().value()),
            call.streamed(),
            attemptId,
            choice.incarnation(),
            choice.weights(),
            exchange.values().priority(),
            OptionalLong.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left))),
            choice.blockKeys(),
            OptionalLong.empty(),
            ConnectionUse.ANY);
    work = context.engines().open(request, this);
  }

  @Override
  public void onHead(EngineHead answerHead) {
    onLoop(
        () -> {
          head = answerHead;
          exchange.proceed();
        });
  }

  @Override
  public void onEvent(SseEvent event) {
    onLoop(() -> relayEvent(event));
  }

  @Override
  public void onBody(byte[] body) {
    onLoop(() -> relayBody(body));
  }

  @Override
  public void onEnd() {
    onLoop(() -> failed(new EngineFailure.Broken(interrupted())));
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
    if (head.attemptId().equals(attemptId)) {
      return true;
    }
    cancel();
    exchange.fail(
        new RequestError.Uncertain(
            ErrorCode.ANSWER_MISMATCH,
            Step.VERIFY,
            Optional.of(choice.engine().peer()),
            "the answer belongs to another request"));
    return false;
  }

  @Override
  public void relay() {
    if (!exchange.sink().writable()) {
      work.suspend();
    }
  }

  private void relayEvent(SseEvent event) {
    if (!exchange.streaming()) {
      exchange.streaming(true);
      exchange.sink().startStream(OK, headers("text/event-stream"));
    }
    exchange.sink().sendPart(EventText.of(event.id(), event.data()));
    if (event.isDone()) {
      over = true;
      exchange.sink().endStream();
      exchange.finish(new ExchangeEnd.Completed());
    }
  }

  private void relayBody(byte[] body) {
    over = true;
    exchange.sink().sendWhole(OK, headers("application/json"), body);
    exchange.finish(new ExchangeEnd.Completed());
  }

  private HttpHeaders headers(String contentType) {
    return exchange
        .baseHeaders()
        .set("Content-Type", contentType)
        .set(ResponseHeaders.SERVER, choice.server().value())
        .set(ResponseHeaders.CACHED_TOKENS, head.cachedTokens());
  }

  private void failed(EngineFailure failure) {
    over = true;
    RequestError error =
        switch (failure) {
          case EngineFailure.NotSent(RequestError cause) -> cause;
          case EngineFailure.Broken(RequestError cause) -> cause;
          case EngineFailure.IdentityDiffers differs -> refused("the identity differs");
          case EngineFailure.Leaving leaving -> refused("the server is leaving");
          case EngineFailure.Rejected rejected -> refused("status " + rejected.head().status());
        };
    exchange.fail(error);
  }

  private RequestError refused(String message) {
    return new RequestError.Refusal(
        ErrorCode.SERVER_FAILED, Step.SEND, Optional.of(choice.engine().peer()), message);
  }

  private RequestError interrupted() {
    return new RequestError.AfterRun(
        ErrorCode.STREAM_INTERRUPTED,
        Step.RELAY,
        Optional.of(choice.engine().peer()),
        "the stream ended without its end marker");
  }

  @Override
  public void callerWritable(boolean writable) {
    if (over || work == null) {
      return;
    }
    if (writable) {
      work.resume();
    } else {
      work.suspend();
    }
  }

  @Override
  public void cancel() {
    if (!over && work != null) {
      over = true;
      work.cancel();
    }
  }
}

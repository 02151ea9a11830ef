package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.plain.PlainAnswer;
import org.pollenrock.adapters.plain.PlainCall;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.decision.Choice;

/** One send of a call to a plain service. */
final class PlainAttempt implements Attempt {
  private final Exchange exchange;
  private final Choice.Plain choice;
  private final AttemptContext context;
  private final boolean idempotent;
  private final String attemptId;
  private PlainAnswer answer;
  private boolean over;

  PlainAttempt(Exchange exchange, Choice.Plain choice, AttemptContext context) {
    this.exchange = exchange;
    this.choice = choice;
    this.context = context;
    this.idempotent = ((Route.Service) exchange.route()).service().idempotent();
    this.attemptId = context.attemptIds().next();
  }

  void send() {
    long left = exchange.deadlineNanos() - context.nanoClock().getAsLong();
    Duration timeout = Duration.ofNanos(Math.max(1_000_000L, left));
    HttpHeaders headers = PlainHeaders.passed(exchange.request().headers());
    headers.set("X-Attempt-Id", attemptId);
    headers.set(ResponseHeaders.REQUEST_ID, exchange.requestId());
    headers.set("X-Customer-Id", exchange.caller().customer().value());
    headers.set("X-Caller-Id", exchange.caller().caller().value());
    headers.set("X-Request-Deadline-Ms", timeout.toMillis());
    PlainCall call =
        new PlainCall(
            choice.server(),
            choice.address(),
            exchange.request().method().name(),
            exchange.request().uri(),
            headers,
            exchange.request().body(),
            timeout,
            idempotent ? ConnectionUse.ANY : ConnectionUse.proven(context.limits().provenLife()));
    context.services().send(call).thenAccept(result -> exchange.onLoop(() -> answered(result)));
  }

  private void answered(Result<PlainAnswer> result) {
    if (over) {
      return;
    }
    switch (result) {
      case Result.Success<PlainAnswer>(PlainAnswer received) -> {
        answer = received;
        exchange.proceed();
      }
      case Result.Failure<PlainAnswer>(RequestError error) -> exchange.fail(error);
    }
  }

  @Override
  public boolean verified() {
    if (answer.headers().get("X-Attempt-Id", "").equals(attemptId)) {
      return true;
    }
    over = true;
    exchange.fail(
        new RequestError.Uncertain(
            ErrorCode.ANSWER_MISMATCH,
            Step.VERIFY,
            Optional.of(new Peer(Peer.Kind.PLAIN_SERVICE, choice.server().value())),
            "the answer belongs to another request"));
    return false;
  }

  @Override
  public void relay() {
    over = true;
    HttpHeaders headers = PlainHeaders.passed(answer.headers());
    headers.set(exchange.baseHeaders());
    headers.set(ResponseHeaders.SERVER, choice.server().value());
    exchange.sink().sendWhole(answer.status(), headers, answer.body());
    exchange.finish(new ExchangeEnd.Completed());
  }

  @Override
  public void callerWritable(boolean writable) {
    // The answer is bounded and sent as a whole.
  }

  @Override
  public void cancel() {
    over = true;
  }
}

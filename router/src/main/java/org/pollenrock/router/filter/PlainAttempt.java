package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.plain.PlainAnswer;
import org.pollenrock.adapters.plain.PlainCall;
import org.pollenrock.adapters.plain.PlainExchange;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.retry.FailedAttempt;
import org.pollenrock.core.retry.FailureKind;
import org.pollenrock.core.stream.AttemptId;
import org.pollenrock.core.stream.ExpectedResponse;
import org.pollenrock.core.stream.ResponseIdentity;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.decision.Choice;
import org.pollenrock.router.decision.ProgressDeadline;
import org.pollenrock.router.decision.WatchedExchange;

/** One send of a call to a plain service. */
final class PlainAttempt implements Attempt, WatchedExchange {
  private static final int UNAVAILABLE = 503;
  private static final long LEAST_TIMEOUT_NANOS = 1_000_000L;

  private final Exchange exchange;
  private final Choice.Plain choice;
  private final AttemptContext context;
  private final Route.Service route;
  private final AttemptId attemptId;
  private final long watchId;
  private volatile long progressNanos;
  private PlainExchange work;
  private PlainAnswer answer;
  private boolean over;

  PlainAttempt(Exchange exchange, Choice.Plain choice, AttemptContext context) {
    this.exchange = exchange;
    this.choice = choice;
    this.context = context;
    this.route = (Route.Service) exchange.route();
    this.attemptId = context.attemptIds().next();
    this.watchId = context.decisions().nextTicket();
  }

  /** Sends the call; one under a claim asks directly before whether it still may. */
  void send() {
    Optional<ClaimTicket> claim = exchange.claim();
    if (claim.isEmpty()) {
      sendNow();
      return;
    }
    claim
        .get()
        .maySend(
            allowed ->
                exchange.onLoop(
                    () -> {
                      // Otherwise the claim's own reply has ended the request or is about to.
                      if (allowed) {
                        sendNow();
                      }
                    },
                    () -> notSent(claim.get(), allowed)));
  }

  private void notSent(ClaimTicket claim, boolean allowed) {
    if (allowed) {
      claim.notSent(refusal(FailureKind.CONNECT_FAILED, "the request had ended before"));
    }
  }

  private void sendNow() {
    exchange.claim().ifPresent(ClaimTicket::sending);
    progressNanos = now();
    long left = Math.max(LEAST_TIMEOUT_NANOS, exchange.deadlineNanos() - progressNanos);
    PlainCall call =
        new PlainCall(
            choice.server(),
            choice.address(),
            exchange.request().method().name(),
            exchange.request().uri(),
            headers(left),
            exchange.request().body(),
            Duration.ofNanos(left),
            connectionUse());
    long silence = context.times().plainAnswer().toNanos();
    context
        .decisions()
        .watch(choice.server(), watchId, this, new ProgressDeadline(silence, silence));
    work =
        context
            .services()
            .send(
                call,
                result -> exchange.onLoop(() -> answered(result), () -> answeredAfterEnd(result)));
  }

  /** Records the outcome of a claimed call whose caller was answered or has left. */
  private void answeredAfterEnd(Result<PlainAnswer> result) {
    exchange.claim().ifPresent(claim -> settleAfterEnd(claim, result));
  }

  private void settleAfterEnd(ClaimTicket claim, Result<PlainAnswer> result) {
    claim.returned();
    switch (result) {
      case Result.Success<PlainAnswer>(PlainAnswer received) when isLeavingRefusal(received) ->
          claim.notSent(refusal(FailureKind.REFUSED_LEAVING, "the server refused the call"));
      case Result.Success<PlainAnswer>(PlainAnswer received) when accepted(received) ->
          claim.finished(outcome(received));
      case Result.Failure<PlainAnswer>(RequestError.Refusal notSent) -> claim.notSent(notSent);
      default -> claim.unknown();
    }
  }

  private static CallOutcome outcome(PlainAnswer received) {
    return CallOutcome.of(
        received.status(), received.headers().get("Content-Type", ""), received.body());
  }

  private ConnectionUse connectionUse() {
    if (exchange.freshConnection()) {
      return ConnectionUse.FRESH;
    }
    return route.idempotent()
        ? ConnectionUse.ANY
        : ConnectionUse.proven(context.times().provenLife());
  }

  private HttpHeaders headers(long leftNanos) {
    HttpHeaders headers = PlainHeaders.passed(exchange.request().headers());
    headers.set("X-Attempt-Id", attemptId.headerValue());
    headers.set(ResponseHeaders.REQUEST_ID, exchange.requestId());
    headers.set("X-Customer-Id", exchange.caller().customer().value());
    headers.set("X-Caller-Id", exchange.caller().caller().value());
    headers.set("X-Request-Deadline-Ms", Duration.ofNanos(leftNanos).toMillis());
    return headers;
  }

  private long now() {
    return context.nanoClock().getAsLong();
  }

  @Override
  public long lastProgressNanos() {
    return progressNanos;
  }

  @Override
  public void silent() {
    exchange.onLoop(
        () -> {
          if (!over) {
            failed(FailureKind.TIMED_OUT, RunState.UNKNOWN, true);
          }
        });
  }

  private void answered(Result<PlainAnswer> result) {
    if (over) {
      return;
    }
    exchange.claim().ifPresent(ClaimTicket::returned);
    switch (result) {
      case Result.Success<PlainAnswer>(PlainAnswer received) -> {
        answer = received;
        if (isLeavingRefusal(received)) {
          context.decisions().plainLeaving(choice.server());
          failed(FailureKind.REFUSED_LEAVING, RunState.NOT_RUN, true);
          return;
        }
        exchange.proceed();
      }
      case Result.Failure<PlainAnswer>(RequestError.Refusal notSent) ->
          failed(FailureKind.CONNECT_FAILED, RunState.NOT_RUN, false);
      case Result.Failure<PlainAnswer>(RequestError error) ->
          failed(FailureKind.CONNECTION_LOST, RunState.UNKNOWN, true);
    }
  }

  private static boolean isLeavingRefusal(PlainAnswer answer) {
    return answer.status() == UNAVAILABLE
        && "leaving".equalsIgnoreCase(answer.headers().get("X-Server-State", ""));
  }

  private boolean accepted(PlainAnswer received) {
    ExpectedResponse expected = new ExpectedResponse(attemptId, Optional.empty(), Optional.empty());
    ResponseIdentity actual =
        new ResponseIdentity(
            AttemptId.parse(received.headers().get("X-Attempt-Id", "")),
            Optional.empty(),
            Optional.empty());
    return context.verifier().verify(expected, actual).canRelay();
  }

  @Override
  public boolean verified() {
    if (accepted(answer)) {
      return true;
    }
    failed(FailureKind.ANSWER_MISMATCH, RunState.UNKNOWN, true);
    return false;
  }

  @Override
  public void relay() {
    end(true);
    exchange.claim().ifPresent(claim -> claim.finished(outcome(answer)));
    HttpHeaders headers = PlainHeaders.passed(answer.headers());
    headers.set(exchange.baseHeaders());
    headers.set(ResponseHeaders.SERVER, choice.server().value());
    exchange.sink().sendWhole(answer.status(), headers, answer.body());
    exchange.finish(new ExchangeEnd.Completed());
  }

  private void failed(FailureKind kind, RunState runState, boolean bytesMayHaveLeft) {
    end(kind == FailureKind.REFUSED_LEAVING);
    work.cancel();
    exchange.claim().ifPresent(ClaimTicket::returned);
    if (bytesMayHaveLeft) {
      exchange.claim().ifPresent(claim -> settle(claim, kind, runState));
    }
    exchange.freshConnection(kind == FailureKind.TIMED_OUT);
    FailedAttempt failedAttempt =
        new FailedAttempt(kind, choice.peer(), runState, bytesMayHaveLeft, 0);
    context.recovery().failed(exchange, failedAttempt, route.idempotent());
  }

  /** A claim is settled at the latest when bytes may have left: no attempt follows then. */
  private void settle(ClaimTicket claim, FailureKind kind, RunState runState) {
    if (runState == RunState.NOT_RUN) {
      claim.notSent(refusal(kind, "the server refused the call"));
    } else {
      claim.unknown();
    }
  }

  private RequestError.Refusal refusal(FailureKind kind, String message) {
    return new RequestError.Refusal(kind.code(), Step.SEND, Optional.of(choice.peer()), message);
  }

  @Override
  public void callerWritable(boolean writable) {
    // The answer is bounded and sent as a whole.
  }

  @Override
  public void cancel() {
    if (over) {
      return;
    }
    over = true;
    context.decisions().unwatch(choice.server(), watchId);
    // A non-idempotent call goes on, so that its outcome becomes known.
    if (route.idempotent() && work != null) {
      work.cancel();
    }
  }

  private void end(boolean success) {
    over = true;
    context.decisions().unwatch(choice.server(), watchId);
    context.decisions().plainEnded(route.backend(), choice.server(), success);
  }
}

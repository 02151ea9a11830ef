package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.claim.ClaimCall;
import org.pollenrock.core.claim.Digest256;
import org.pollenrock.core.claim.IdempotencyKey;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.caller.CallerRequest;
import org.pollenrock.router.decision.ClaimListener;
import org.pollenrock.router.decision.Decisions;

/** Claims a non-idempotent call that carries a key; other requests pass. */
final class ClaimFilter implements Filter {
  private static final String KEY_HEADER = "Idempotency-Key";

  private final Decisions decisions;

  ClaimFilter(Decisions decisions) {
    this.decisions = decisions;
  }

  @Override
  public Step step() {
    return Step.CLAIM;
  }

  @Override
  public void apply(Exchange exchange) {
    String header = exchange.request().headers().get(KEY_HEADER);
    boolean claims = exchange.route() instanceof Route.Service service && !service.idempotent();
    if (!claims || header == null) {
      exchange.proceed();
      return;
    }
    Optional<IdempotencyKey> key = IdempotencyKey.parse(header);
    if (key.isEmpty()) {
      exchange.refuse(
          ErrorCode.INVALID_IDEMPOTENCY_KEY, "the idempotency key is neither a UUIDv7 nor a ULID");
      return;
    }
    claim(exchange, key.get());
  }

  private void claim(Exchange exchange, IdempotencyKey key) {
    long callId = decisions.nextTicket();
    String service = ((Route.Service) exchange.route()).name();
    ClaimCall call =
        new ClaimCall(
            callId,
            Digest256.ofKey(exchange.caller().customer(), service, key),
            key.timeMillis(),
            digest(exchange.request()),
            exchange.deadlineNanos());
    ClaimTicket ticket = new ClaimTicket(callId, decisions);
    if (!decisions.claim(call, new Listener(exchange, ticket))) {
      exchange.refuse(ErrorCode.OVERLOADED, "too many requests wait for a decision");
      return;
    }
    exchange.atEnd(
        () ->
            ticket.requestEnded(
                new RequestError.Refusal(
                    ErrorCode.SERVER_FAILED,
                    Step.SEND,
                    Optional.empty(),
                    "the call could not be sent")));
  }

  /** Covers method and target too: a key stands for one call. */
  private static Digest256 digest(CallerRequest request) {
    byte[] head =
        (request.method().name() + ' ' + request.uri() + '\n').getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[head.length + request.body().length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(request.body(), 0, all, head.length, request.body().length);
    return Digest256.of(all);
  }

  private record Listener(Exchange exchange, ClaimTicket ticket) implements ClaimListener {
    @Override
    public void granted() {
      exchange.onLoop(
          () -> {
            exchange.claim(ticket);
            exchange.proceed();
          });
    }

    @Override
    public void outcome(CallOutcome outcome) {
      exchange.onLoop(() -> answer(exchange, outcome));
    }

    @Override
    public void error(RequestError error) {
      exchange.onLoop(() -> exchange.fail(error));
    }

    private static void answer(Exchange exchange, CallOutcome outcome) {
      if (!outcome.bodyKept()) {
        exchange.fail(
            new RequestError.AfterRun(
                ErrorCode.OUTCOME_NOT_KEPT,
                Step.CLAIM,
                Optional.empty(),
                "the call ran with status " + outcome.status() + "; its answer is not kept"));
        return;
      }
      HttpHeaders headers = exchange.baseHeaders();
      if (!outcome.contentType().isEmpty()) {
        headers.set("Content-Type", outcome.contentType());
      }
      exchange.sink().sendWhole(outcome.status(), headers, outcome.body());
      exchange.finish(new ExchangeEnd.Completed());
    }
  }
}

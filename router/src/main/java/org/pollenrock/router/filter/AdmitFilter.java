package org.pollenrock.router.filter;

import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.prefix.PromptBlocks;
import org.pollenrock.router.decision.AdmitAnswer;
import org.pollenrock.router.decision.AdmitRequest;
import org.pollenrock.router.decision.Decisions;

/** Charges the request to its limits and waits for a slot. */
final class AdmitFilter implements Filter {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final Decisions decisions;

  AdmitFilter(Decisions decisions) {
    this.decisions = decisions;
  }

  @Override
  public Step step() {
    return Step.ADMIT;
  }

  @Override
  public void apply(Exchange exchange) {
    long ticket = decisions.nextTicket();
    AdmitRequest request =
        new AdmitRequest(
            exchange.caller().customer(),
            exchange.values(),
            exchange.route() instanceof Route.Model model
                ? Optional.of(model.model())
                : Optional.empty(),
            promptTokens(exchange),
            exchange.deadlineNanos());
    boolean asked =
        decisions.admit(
            ticket, request, answer -> exchange.onLoop(() -> answered(exchange, answer)));
    if (!asked) {
      exchange.refuse(ErrorCode.OVERLOADED, "too many requests wait for a decision");
      return;
    }
    exchange.atEnd(() -> decisions.release(ticket, exchange.attempts() > 0));
  }

  /** The prompt is digested after admission, so its length is estimated from the body. */
  private static long promptTokens(Exchange exchange) {
    return exchange.call() instanceof ParsedCall.Completion
        ? Math.max(1, exchange.request().body().length / PromptBlocks.BYTES_PER_TOKEN)
        : 0;
  }

  private static void answered(Exchange exchange, AdmitAnswer answer) {
    switch (answer) {
      case AdmitAnswer.Admitted admitted -> exchange.proceed();
      case AdmitAnswer.Refused(var error, long retryAfterNanos) -> {
        if (retryAfterNanos > 0) {
          exchange.retryAfterSeconds(Math.ceilDiv(retryAfterNanos, NANOS_PER_SECOND));
        }
        exchange.fail(error);
      }
    }
  }
}

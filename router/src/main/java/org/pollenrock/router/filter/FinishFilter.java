package org.pollenrock.router.filter;

import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.caller.ErrorBody;

/** Tells the caller of a failure, stops work that is no longer wanted, and frees what was held. */
final class FinishFilter implements Filter {
  @Override
  public Step step() {
    return Step.FINISH;
  }

  @Override
  public void apply(Exchange exchange) {
    if (exchange.attempt() != null) {
      exchange.attempt().cancel();
    }
    if (exchange.end() instanceof ExchangeEnd.Failed(RequestError error)) {
      answer(exchange, error);
    }
    exchange.runEndActions();
  }

  private static void answer(Exchange exchange, RequestError error) {
    if (exchange.streaming()) {
      exchange.sink().sendPart(ErrorBody.event(error));
      exchange.sink().endStream();
      return;
    }
    exchange
        .sink()
        .sendWhole(
            error.code().httpStatus(),
            exchange.baseHeaders().set("Content-Type", "application/json"),
            ErrorBody.of(error));
  }
}

package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
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
    if (exchange.stream().started()) {
      exchange.sink().sendPart(ErrorBody.event(error));
      exchange.sink().endStream();
      return;
    }
    HttpHeaders headers = exchange.baseHeaders().set("Content-Type", "application/json");
    exchange.retryAfterSeconds().ifPresent(seconds -> headers.set("Retry-After", seconds));
    exchange.sink().sendWhole(error.code().httpStatus(), headers, ErrorBody.of(error));
  }
}

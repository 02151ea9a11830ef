package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.caller.ErrorBody;
import org.pollenrock.router.operator.RouterMetrics;

/** Tells the caller of a failure, stops work that is no longer wanted, and frees what was held. */
final class FinishFilter implements Filter {
  private final RouterMetrics metrics;

  FinishFilter(RouterMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public Step step() {
    return Step.FINISH;
  }

  @Override
  public void apply(Exchange exchange) {
    // Counted first, so that whoever sees the effects of the end finds it in the metrics.
    metrics.requestEnded(route(exchange), result(exchange.end()));
    if (exchange.attempt() != null) {
      exchange.attempt().cancel();
    }
    if (exchange.end() instanceof ExchangeEnd.Failed(RequestError error)) {
      answer(exchange, error);
    }
    exchange.runEndActions();
  }

  private static String route(Exchange exchange) {
    return switch (exchange.route()) {
      case Route.Model model -> "model";
      case Route.Service service -> "service";
      case null -> "none";
    };
  }

  private static String result(ExchangeEnd end) {
    return switch (end) {
      case ExchangeEnd.Completed completed -> "completed";
      case ExchangeEnd.CallerGone gone -> "caller_gone";
      case ExchangeEnd.Failed(RequestError error) -> error.code().wireName();
    };
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

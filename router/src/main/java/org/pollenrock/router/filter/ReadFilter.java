package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpMethod;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;

/** Reads what the caller asks for from method, path and body. */
final class ReadFilter implements Filter {
  private static final String CHAT = "/v1/chat/completions";
  private static final String COMPLETIONS = "/v1/completions";
  private static final String MODELS = "/v1/models";

  @Override
  public Step step() {
    return Step.READ;
  }

  @Override
  public void apply(Exchange exchange) {
    String path = exchange.request().path();
    switch (path) {
      case CHAT, COMPLETIONS -> readCompletion(exchange, path.equals(CHAT));
      case MODELS -> readModelList(exchange);
      default -> exchange.proceed();
    }
  }

  private static void readModelList(Exchange exchange) {
    if (!exchange.request().method().equals(HttpMethod.GET)) {
      exchange.refuse(ErrorCode.UNKNOWN_ROUTE, "this path takes GET");
      return;
    }
    exchange.call(new ParsedCall.ListModels());
    exchange.proceed();
  }

  private static void readCompletion(Exchange exchange, boolean chat) {
    if (!exchange.request().method().equals(HttpMethod.POST)) {
      exchange.refuse(ErrorCode.UNKNOWN_ROUTE, "this path takes POST");
      return;
    }
    switch (CompletionBody.parse(chat, exchange.request().body())) {
      case Result.Success<ParsedCall>(ParsedCall parsed) -> {
        exchange.call(parsed);
        exchange.proceed();
      }
      case Result.Failure<ParsedCall>(var error) -> exchange.fail(error);
    }
  }
}

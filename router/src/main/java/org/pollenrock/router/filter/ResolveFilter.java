package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.settings.ServiceSettings;

/** Finds the model or the plain service that serves the request. */
final class ResolveFilter implements Filter {
  private static final int OK = 200;

  @Override
  public Step step() {
    return Step.RESOLVE;
  }

  @Override
  public void apply(Exchange exchange) {
    switch (exchange.call()) {
      case ParsedCall.ListModels list -> answerModels(exchange);
      case ParsedCall.Completion completion -> resolveModel(exchange, completion);
      case ParsedCall.Other other -> resolveService(exchange);
    }
  }

  private static void answerModels(Exchange exchange) {
    byte[] body = ModelListBody.of(exchange.knownSettings().tree().models().names());
    HttpHeaders headers = exchange.baseHeaders().set("Content-Type", "application/json");
    exchange.sink().sendWhole(OK, headers, body);
    exchange.finish(new ExchangeEnd.Completed());
  }

  private static void resolveModel(Exchange exchange, ParsedCall.Completion completion) {
    ModelId model = new ModelId(completion.model());
    if (exchange.knownSettings().tree().model(model).isEmpty()) {
      exchange.refuse(ErrorCode.UNKNOWN_MODEL, "no model has this name");
      return;
    }
    exchange.route(new Route.Model(model));
    exchange.proceed();
  }

  private static void resolveService(Exchange exchange) {
    String path = exchange.request().path();
    var found = exchange.knownSettings().tree().serviceOf(path);
    if (found.isEmpty()) {
      exchange.refuse(ErrorCode.UNKNOWN_ROUTE, "no API or service has this method and path");
      return;
    }
    ServiceSettings service = found.get().getValue();
    boolean idempotent = service.idempotent(exchange.request().method().name(), path);
    exchange.route(new Route.Service(found.get().getKey(), service.backend(), idempotent));
    exchange.proceed();
  }
}

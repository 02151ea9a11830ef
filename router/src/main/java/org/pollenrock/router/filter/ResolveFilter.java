package org.pollenrock.router.filter;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.router.settings.ServiceRoute;

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
    byte[] body = ModelListBody.of(exchange.knownSettings().models());
    HttpHeaders headers = exchange.baseHeaders().set("Content-Type", "application/json");
    exchange.sink().sendWhole(OK, headers, body);
    exchange.finish(new ExchangeEnd.Completed());
  }

  private static void resolveModel(Exchange exchange, ParsedCall.Completion completion) {
    ModelId model = new ModelId(completion.model());
    Optional<WeightsVersion> version = exchange.knownSettings().model(model);
    if (version.isEmpty()) {
      exchange.refuse(ErrorCode.UNKNOWN_MODEL, "no model has this name");
      return;
    }
    exchange.route(new Route.Model(model, version.get()));
    exchange.proceed();
  }

  private static void resolveService(Exchange exchange) {
    Optional<ServiceRoute> service =
        exchange
            .knownSettings()
            .service(exchange.request().method().name(), exchange.request().path());
    if (service.isEmpty()) {
      exchange.refuse(ErrorCode.UNKNOWN_ROUTE, "no API or service has this method and path");
      return;
    }
    exchange.route(new Route.Service(service.get()));
    exchange.proceed();
  }
}

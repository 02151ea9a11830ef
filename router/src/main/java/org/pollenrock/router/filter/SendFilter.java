package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;
import org.pollenrock.router.decision.Choice;

/** Sends the request to the chosen server. */
final class SendFilter implements Filter {
  private final AttemptContext context;

  SendFilter(AttemptContext context) {
    this.context = context;
  }

  @Override
  public Step step() {
    return Step.SEND;
  }

  @Override
  public void apply(Exchange exchange) {
    switch (exchange.choice()) {
      case Choice.Engine engine -> {
        EngineAttempt attempt = new EngineAttempt(exchange, engine, context);
        exchange.begin(attempt);
        attempt.send();
      }
      case Choice.Plain plain -> {
        PlainAttempt attempt = new PlainAttempt(exchange, plain, context);
        exchange.begin(attempt);
        attempt.send();
      }
    }
  }
}

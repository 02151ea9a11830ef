package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** Relays the verified answer. */
final class RelayFilter implements Filter {
  @Override
  public Step step() {
    return Step.RELAY;
  }

  @Override
  public void apply(Exchange exchange) {
    exchange.attempt().relay();
  }
}

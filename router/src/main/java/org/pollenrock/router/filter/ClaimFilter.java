package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** Claims a non-idempotent call that carries a key; other requests pass. */
final class ClaimFilter implements Filter {
  @Override
  public Step step() {
    return Step.CLAIM;
  }

  @Override
  public void apply(Exchange exchange) {
    exchange.proceed();
  }
}

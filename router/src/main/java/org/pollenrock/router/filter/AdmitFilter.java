package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** Admits the request. */
final class AdmitFilter implements Filter {
  @Override
  public Step step() {
    return Step.ADMIT;
  }

  @Override
  public void apply(Exchange exchange) {
    exchange.proceed();
  }
}

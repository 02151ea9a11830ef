package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** Verifies that an answer belongs to its request before the first byte of it is relayed. */
final class VerifyFilter implements Filter {
  @Override
  public Step step() {
    return Step.VERIFY;
  }

  @Override
  public void apply(Exchange exchange) {
    if (exchange.attempt().verified()) {
      exchange.proceed();
    }
  }
}

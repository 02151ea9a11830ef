package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** Brings the prompt into the form whose blocks are compared. */
final class FingerprintFilter implements Filter {
  @Override
  public Step step() {
    return Step.FINGERPRINT;
  }

  @Override
  public void apply(Exchange exchange) {
    if (exchange.call() instanceof ParsedCall.Completion completion) {
      exchange.prompt(CompletionBody.canonicalPrompt(completion));
    }
    exchange.proceed();
  }
}

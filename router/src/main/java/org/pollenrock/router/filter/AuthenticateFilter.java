package org.pollenrock.router.filter;

import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.settings.CallerIdentity;

/** Checks the bearer key. */
final class AuthenticateFilter implements Filter {
  private static final String SCHEME = "Bearer ";

  @Override
  public Step step() {
    return Step.AUTHENTICATE;
  }

  @Override
  public void apply(Exchange exchange) {
    if (exchange.settings().isEmpty()) {
      exchange.refuse(
          ErrorCode.SETTINGS_UNAVAILABLE, "the router has not received any accepted settings yet");
      return;
    }
    Optional<CallerIdentity> owner =
        bearerKey(exchange.request().headers().get("Authorization", ""))
            .flatMap(exchange.knownSettings()::identify);
    if (owner.isEmpty()) {
      exchange.refuse(ErrorCode.UNAUTHENTICATED, "the API key is missing or unknown");
      return;
    }
    exchange.caller(owner.get());
    exchange.proceed();
  }

  private static Optional<String> bearerKey(String header) {
    boolean bearer = header.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
    return bearer ? Optional.of(header.substring(SCHEME.length()).trim()) : Optional.empty();
  }
}

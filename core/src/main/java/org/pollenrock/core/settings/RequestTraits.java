package org.pollenrock.core.settings;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What of a request decides its kind.
 *
 * @param header value of the header {@code X-Request-Kind}
 * @param model name of the model that it asks for
 * @param service name of the plain service that it calls
 * @param maxTokens its {@code max_tokens}
 */
public record RequestTraits(
    Optional<String> header,
    Optional<String> model,
    Optional<String> service,
    OptionalLong maxTokens) {
  /** Checks that all parts are present. */
  public RequestTraits {
    Objects.requireNonNull(header, "header");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(maxTokens, "maxTokens");
  }
}

package org.pollenrock.ctl.load;

import java.util.Objects;
import java.util.Optional;

/**
 * One request of a load run.
 *
 * @param kind kind of request, as figures name it
 * @param method HTTP method
 * @param path request path
 * @param apiKey API key of its customer
 * @param idempotencyKey value of the header {@code Idempotency-Key}, for a posting
 * @param body request body, empty for a lookup
 * @param streamed whether the answer is a stream of events
 */
public record LoadRequest(
    String kind,
    String method,
    String path,
    String apiKey,
    Optional<String> idempotencyKey,
    String body,
    boolean streamed) {
  /** Checks that all parts are present. */
  public LoadRequest {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(apiKey, "apiKey");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(body, "body");
  }
}

package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Identity of a response, as stated by the server in the response headers.
 *
 * @param attempt attempt echoed by the server; empty if the header is absent or malformed
 * @param incarnation incarnation of the server; empty if the header is absent
 * @param weights weights version that computed the response; empty if the header is absent
 */
public record ResponseIdentity(
    Optional<AttemptId> attempt,
    Optional<Incarnation> incarnation,
    Optional<WeightsVersion> weights) {
  /** Checks that no component is null. */
  public ResponseIdentity {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

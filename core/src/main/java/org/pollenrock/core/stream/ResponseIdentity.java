package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Identity that a server stated in the headers of a response.
 *
 * @param attempt echoed attempt; empty when the header is absent or malformed
 * @param incarnation incarnation of the server; empty when the header is absent
 * @param weights weights version that computed the response; empty when the header is absent
 */
public record ResponseIdentity(
    Optional<AttemptId> attempt,
    Optional<Incarnation> incarnation,
    Optional<WeightsVersion> weights) {
  /** Checks that all parts are present. */
  public ResponseIdentity {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

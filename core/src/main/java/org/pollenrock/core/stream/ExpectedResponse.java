package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Identity that the response to an attempt must have.
 *
 * @param attempt the attempt that was sent
 * @param incarnation expected incarnation of the server; empty if any incarnation is accepted
 * @param weights expected weights version; empty for plain services
 */
public record ExpectedResponse(
    AttemptId attempt, Optional<Incarnation> incarnation, Optional<WeightsVersion> weights) {
  /** Checks that no component is null. */
  public ExpectedResponse {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Identity that the response to an attempt must have.
 *
 * @param attempt the attempt that was sent
 * @param incarnation incarnation of the server that the choice relied on; empty when it relied on
 *     none
 * @param weights weights version that the choice relied on; empty for plain services
 */
public record ExpectedResponse(
    AttemptId attempt, Optional<Incarnation> incarnation, Optional<WeightsVersion> weights) {
  /** Checks that all parts are present. */
  public ExpectedResponse {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
  }
}

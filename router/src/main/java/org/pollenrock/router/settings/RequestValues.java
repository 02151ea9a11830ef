package org.pollenrock.router.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.limits.ScopedLimits;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.core.placement.CostWeights;
import org.pollenrock.core.settings.EffectiveSettings;

/**
 * Values in force for one request.
 *
 * @param kind kind of the request, empty when none applies
 * @param effective the values
 * @param limits limits that the request is charged to
 * @param weights weights of the placement cost
 */
public record RequestValues(
    Optional<RequestKind> kind,
    EffectiveSettings effective,
    List<ScopedLimits> limits,
    CostWeights weights) {
  /** Checks that all parts are present. */
  public RequestValues {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(effective, "effective");
    Objects.requireNonNull(weights, "weights");
    limits = List.copyOf(limits);
  }
}

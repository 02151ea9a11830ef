package org.pollenrock.core.limits;

import java.util.Objects;

/**
 * Limits in force for one scope of a request.
 *
 * @param scope whose requests are counted
 * @param values the limits
 */
public record ScopedLimits(LimitScope scope, LimitValues values) {
  /** Checks that all parts are present. */
  public ScopedLimits {
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(values, "values");
  }
}

package org.pollenrock.core.limits;

import java.util.Objects;

/**
 * Current limits of one scope of a request.
 *
 * @param scope requests that the limits apply to
 * @param values values of the limits
 */
public record ScopedLimits(LimitScope scope, LimitValues values) {
  /** Checks that no component is null. */
  public ScopedLimits {
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(values, "values");
  }
}

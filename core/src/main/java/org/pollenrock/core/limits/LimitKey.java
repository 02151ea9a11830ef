package org.pollenrock.core.limits;

import java.util.Objects;

/**
 * One limit: a scope and what is counted in it.
 *
 * @param scope whose requests are counted
 * @param dimension what is counted
 */
public record LimitKey(LimitScope scope, LimitDimension dimension) {
  /** Checks that all parts are present. */
  public LimitKey {
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(dimension, "dimension");
  }

  /**
   * Number by which routers take turns in receiving the remainder of a division. Unlike {@link
   * #hashCode}, which covers the identity hash of an enum constant, it is equal in all processes.
   *
   * @return the number
   */
  public int stableHash() {
    int hash = scope.customer().value().hashCode();
    hash = 31 * hash + scope.caller().map(caller -> caller.value().hashCode()).orElse(0);
    hash = 31 * hash + scope.kind().map(kind -> kind.value().hashCode()).orElse(0);
    return 31 * hash + dimension.ordinal();
  }
}

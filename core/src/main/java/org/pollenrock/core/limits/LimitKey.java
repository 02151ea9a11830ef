package org.pollenrock.core.limits;

import java.util.Objects;

/**
 * Identifies a limit by its scope and dimension.
 *
 * @param scope requests that the limit applies to
 * @param dimension quantity that the limit bounds
 */
public record LimitKey(LimitScope scope, LimitDimension dimension) {
  /** Checks that no component is null. */
  public LimitKey {
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(dimension, "dimension");
  }

  /**
   * Returns a hash that is equal in all processes; routers use it to distribute the remainder when
   * a limit is divided among them. {@link #hashCode} differs between processes, because it includes
   * the identity hash code of an enum constant.
   *
   * @return hash code of the scope and the dimension
   */
  public int stableHash() {
    int hash = scope.customer().value().hashCode();
    hash = 31 * hash + scope.caller().map(caller -> caller.value().hashCode()).orElse(0);
    hash = 31 * hash + scope.kind().map(kind -> kind.value().hashCode()).orElse(0);
    return 31 * hash + dimension.ordinal();
  }
}

package org.pollenrock.core.limits;

/** Tells which part of a limit this router may use. */
@FunctionalInterface
public interface ShareSource {
  /**
   * Part of a limit that this router may use now.
   *
   * @param key the limit
   * @param limit its value over all routers
   * @param nowNanos time now
   * @return the share in the unit of the limit's dimension
   */
  long share(LimitKey key, long limit, long nowNanos);
}

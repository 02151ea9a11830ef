package org.pollenrock.core.limits;

/** Provides the part of each limit that this router may use. */
@FunctionalInterface
public interface ShareSource {
  /**
   * Returns the part of a limit that this router may use now.
   *
   * @param key the limit
   * @param limit value of the limit for all routers together
   * @param nowNanos current time
   * @return the share in the unit of the limit's dimension
   */
  long share(LimitKey key, long limit, long nowNanos);
}

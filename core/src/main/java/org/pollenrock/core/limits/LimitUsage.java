package org.pollenrock.core.limits;

/** Provides the limits and this router's demand to a {@link ShareLedger}. */
public interface LimitUsage {
  /**
   * Returns the value of a limit for all routers together.
   *
   * @param key the limit
   * @return value of the limit in the current settings, 0 if they contain no such limit
   */
  long limit(LimitKey key);

  /**
   * Returns the amount of a limit that requests on this router need.
   *
   * @param key the limit
   * @param nowNanos current time
   * @return recent demand in the unit of the limit's dimension, including refused requests
   */
  long demand(LimitKey key, long nowNanos);
}

package org.pollenrock.core.limits;

/** What a ledger must know of this router's own use of a limit before it lends or borrows. */
public interface LimitUsage {
  /**
   * Value of a limit over all routers.
   *
   * @param key the limit
   * @return its value under the settings in force, 0 when this router knows of no such limit
   */
  long limit(LimitKey key);

  /**
   * What this router's own requests need of a limit.
   *
   * @param key the limit
   * @param nowNanos time now
   * @return recent demand, refused requests included, in the unit of the limit's dimension
   */
  long demand(LimitKey key, long nowNanos);
}

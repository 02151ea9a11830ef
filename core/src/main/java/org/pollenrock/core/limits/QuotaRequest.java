package org.pollenrock.core.limits;

/** A request that needs a part of its customer's quota. */
public interface QuotaRequest {
  /**
   * Returns what the request costs.
   *
   * @return the cost in the unit of the quota, not negative
   */
  double amount();

  /** Called once if the amount was charged. */
  void quotaGranted();

  /**
   * Called once if the request exceeds the quota; nothing was charged.
   *
   * @param excess state of the quota at this instance
   */
  void quotaExceeded(QuotaExcess excess);
}

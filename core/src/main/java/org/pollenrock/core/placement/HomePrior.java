package org.pollenrock.core.placement;

/**
 * Expected share of a prompt that its first home has cached although this router does not know it.
 *
 * <p>Routers see only their own requests at once; what peers send to a home shows after the lag of
 * the cache events. The share is learned from the responses of homes of which this router knew
 * nothing.
 */
final class HomePrior {
  /**
   * Share before the first observation. It is high, so that routers that have just started agree on
   * the homes instead of each computing a copy elsewhere.
   */
  private static final double INITIAL_SHARE = 0.6;

  /** Lower bound: without it, a burst of new prefixes would end the agreement on homes. */
  private static final double MIN_SHARE = 0.2;

  private static final double SMOOTHING = 0.02;

  private double share = INITIAL_SHARE;

  double share() {
    return share;
  }

  void observe(double cachedShare) {
    share = Math.max(MIN_SHARE, share + SMOOTHING * (cachedShare - share));
  }
}

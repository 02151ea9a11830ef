package org.pollenrock.core.placement;

/**
 * Estimates the share of a prompt that its first home has cached without this router knowing it.
 *
 * <p>A router knows its own requests immediately, but learns what its peers sent to a home only
 * when the cache events arrive. The share is learned from the responses of homes whose cache
 * content was unknown to this router when it sent the request.
 */
final class HomePrior {
  /**
   * Share before the first observation. The value is high so that routers that have just started
   * agree on the homes instead of each computing a copy elsewhere.
   */
  private static final double INITIAL_SHARE = 0.6;

  /**
   * Lower bound of the share. Without the bound, routers would stop agreeing on the homes after a
   * burst of new prefixes.
   */
  private static final double MIN_SHARE = 0.2;

  /** Weight of the newest observation in the moving average. */
  private static final double SMOOTHING = 0.02;

  private double share = INITIAL_SHARE;

  /** Returns the expected cached share, 0 to 1. */
  double share() {
    return share;
  }

  /** Records the share of the prompt, 0 to 1, that a home with unknown cache content had cached. */
  void observe(double cachedShare) {
    share = Math.max(MIN_SHARE, share + SMOOTHING * (cachedShare - share));
  }
}

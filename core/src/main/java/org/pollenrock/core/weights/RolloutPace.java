package org.pollenrock.core.weights;

/**
 * Decides how many engines load weights at the same time.
 *
 * <p>As many load as the slots of the others can spare, and as many as are needed to update all
 * engines in time. Loads that take longer because many run at once are not made more.
 */
final class RolloutPace {
  /**
   * Maximum share of the engines that load weights at the same time, while the others serve the
   * load.
   */
  private static final double MAX_LOADING_SHARE = 0.4;

  /** Duration of a load that is assumed before one was observed. */
  private static final long INITIAL_LOAD_NANOS = 1_000_000_000L;

  /** Ratio to the usual duration from which a load counts as slowed down by others. */
  private static final double SLOWED_RATIO = 1.25;

  /** Weight of a load that took less time than usual in the average of the durations. */
  private static final double FASTER_WEIGHT = 0.3;

  /** Weight of a load that took longer; small, as requests or other loads may have delayed it. */
  private static final double SLOWER_WEIGHT = 0.03;

  /** Ratio of the planned to the usual duration of a load, for engines that take longer. */
  private static final double PLANNED_RATIO = 1.25;

  private double usualNanos;

  /** Number of concurrent loads up to which loads are not slowed down; infinite if unknown. */
  private double maxUnslowed = Double.POSITIVE_INFINITY;

  /** Creates the pace of a rollout before any load was observed. */
  RolloutPace() {}

  /**
   * Records a completed load.
   *
   * @param durationNanos time from the order to the report of the new weights
   * @param concurrent largest number of engines that loaded at the same time
   */
  void recordLoad(long durationNanos, int concurrent) {
    if (usualNanos == 0) {
      usualNanos = durationNanos;
      return;
    }
    boolean slowed = durationNanos > SLOWED_RATIO * usualNanos;
    if (slowed && concurrent > 1) {
      maxUnslowed = Math.clamp(concurrent * usualNanos / durationNanos, 1, maxUnslowed);
    } else if (!slowed && concurrent >= (int) maxUnslowed) {
      maxUnslowed += 1 / maxUnslowed;
    }
    double weight = durationNanos < usualNanos ? FASTER_WEIGHT : SLOWER_WEIGHT;
    usualNanos += weight * (durationNanos - usualNanos);
  }

  /** Returns the time that a load is expected to take, in nanoseconds. */
  long expectedLoadNanos() {
    return usualNanos == 0 ? INITIAL_LOAD_NANOS : (long) (PLANNED_RATIO * usualNanos);
  }

  /**
   * Returns the number of engines that may load or be about to at the same time.
   *
   * @param engines number of engines
   * @param spareEngines number of engines that the present load leaves unused
   * @param remainingNanos times within which the outdated engines have to be updated, in ascending
   *     order
   * @param emptyingNanos time without new requests before a load
   * @return the number; at least 1
   */
  int maxLoading(int engines, double spareEngines, long[] remainingNanos, long emptyingNanos) {
    int spare = (int) Math.min(spareEngines, maxUnslowed);
    int max = Math.max(1, (int) Math.ceil(engines * MAX_LOADING_SHARE));
    return Math.clamp(Math.max(spare, needed(remainingNanos, emptyingNanos)), 1, max);
  }

  /** Returns the number of concurrent loads with which every engine is updated in its time. */
  private int needed(long[] remainingNanos, long emptyingNanos) {
    long durationNanos = expectedLoadNanos() + emptyingNanos;
    double needed = 0;
    for (int i = 0; i < remainingNanos.length; i++) {
      double rounds = Math.max(1.0, (double) remainingNanos[i] / durationNanos);
      needed = Math.max(needed, (i + 1) / rounds);
    }
    return (int) Math.ceil(needed);
  }
}

package org.pollenrock.core.speed;

import java.util.Arrays;

/**
 * Finds the number of requests at once beyond which the time of each grows faster than the work
 * done, from the times of requests by the number of requests that the server had.
 *
 * <p>The work done at a level is the number of requests at once divided by the time of each. A
 * limit is found where more requests gain less than a quarter of the work that they would gain if
 * they did not slow each other down. It is raised by one level whenever the requests above it show
 * that the server has recovered.
 */
final class ParallelTimes {
  /** Number of levels that the slots of a server are divided into at most. */
  private static final int LEVELS_PER_SERVER = 16;

  /** Levels above the slots are kept too, since servers queue some requests. */
  private static final int LEVELS = LEVELS_PER_SERVER * 3 / 2;

  /** Number of recent requests below which a level says nothing. */
  private static final double MIN_WEIGHT = 10;

  /** Bound of the weight of a level, in requests. */
  private static final double MAX_WEIGHT = 30;

  private static final double HALF_LIFE_NANOS = 20e9;

  /** Share of the work expected of more requests that has to be gained. */
  private static final double MIN_GAIN = 0.25;

  /** Standard errors by which the gain has to be missed. */
  private static final double MIN_STANDARD_ERRORS = 4;

  /** Factor above a level at which requests have to be known before it becomes a limit. */
  private static final double COMPARED_LEVEL = 1.5;

  /** Share of the slots above which a limit makes no difference. */
  private static final double MAX_LIMIT_PER_SLOT = 0.8;

  /**
   * What is known of a level.
   *
   * @param work work done, in requests a nanosecond
   * @param squaredError square of the relative standard error of the work
   */
  private record Level(double work, double squaredError) {}

  private final DecayingMean[] times = new DecayingMean[LEVELS];
  private int slots;
  private int levelWidth = 1;

  /** Highest level within the limit; 0 if there is no limit. */
  private int limitLevel;

  /**
   * Records the time of a request.
   *
   * @param requests number of requests at the server when it was sent, including it
   * @param currentSlots number of requests that the server runs concurrently
   */
  void record(double requests, int currentSlots, double elapsedNanos, long nowNanos) {
    if (currentSlots != slots) {
      slots = currentSlots;
      levelWidth = Math.max(1, Math.ceilDiv(currentSlots, LEVELS_PER_SERVER));
      limitLevel = 0;
      Arrays.fill(times, null);
    }
    int level = Math.max(1, (int) Math.round(requests / levelWidth));
    if (level > LEVELS) {
      return;
    }
    if (times[level - 1] == null) {
      times[level - 1] = new DecayingMean(MAX_WEIGHT, HALF_LIFE_NANOS);
    }
    times[level - 1].record(elapsedNanos, nowNanos);
  }

  /** Returns the limit in requests; 0 if there is none. */
  int updateLimit(long nowNanos) {
    Level[] levels = knownLevels(nowNanos);
    int found = findLimit(levels);
    if (found > 0 && (limitLevel == 0 || found < limitLevel)) {
      limitLevel = found;
    } else if (limitLevel > 0
        && levels[limitLevel] != null
        && isGainPossible(levels, limitLevel, 0)) {
      limitLevel = isUseful(limitLevel + 1) ? limitLevel + 1 : 0;
    }
    return limitLevel * levelWidth;
  }

  /** Returns the levels with enough requests by their number; null for the others. */
  private Level[] knownLevels(long nowNanos) {
    Level[] levels = new Level[LEVELS + 1];
    for (int number = 1; number <= LEVELS; number++) {
      DecayingMean time = times[number - 1];
      double weight = time == null ? 0 : time.weight(nowNanos);
      if (weight >= MIN_WEIGHT && time.mean() > 0) {
        double squaredError = time.variance() / weight / (time.mean() * time.mean());
        levels[number] = new Level(number / time.mean(), squaredError);
      }
    }
    return levels;
  }

  private int findLimit(Level[] levels) {
    int highest = LEVELS;
    while (highest > 0 && levels[highest] == null) {
      highest--;
    }
    for (int level = 1; COMPARED_LEVEL * level <= highest && isUseful(level); level++) {
      if (levels[level] != null && !isGainPossible(levels, level, MIN_STANDARD_ERRORS)) {
        return level;
      }
    }
    return 0;
  }

  private boolean isUseful(int level) {
    return level * levelWidth <= MAX_LIMIT_PER_SLOT * slots;
  }

  /** Returns whether more requests gain work, or may gain it as far as their times can tell. */
  private boolean isGainPossible(Level[] levels, int level, double standardErrors) {
    for (int above = level + 1; above <= LEVELS; above++) {
      if (levels[above] == null) {
        continue;
      }
      double error = Math.sqrt(levels[level].squaredError() + levels[above].squaredError());
      // Requests beyond the slots wait and can't add work.
      double running = Math.min(above, (double) slots / levelWidth);
      double required = levels[level].work() * (1 + MIN_GAIN * (running / level - 1));
      if (levels[above].work() * (1 + standardErrors * error) >= required) {
        return true;
      }
    }
    return false;
  }
}

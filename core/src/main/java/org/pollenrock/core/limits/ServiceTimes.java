package org.pollenrock.core.limits;

import java.util.Arrays;
import org.pollenrock.core.model.Priority;

/** Moving averages of the time for which requests of each priority class occupy a slot. */
final class ServiceTimes {
  /** Weight of the newest sample; the average covers about the last 20 requests. */
  private static final double NEWEST_SAMPLE_WEIGHT = 0.1;

  private final double[] meanNanos = new double[Priority.values().length];

  ServiceTimes(long initialNanos) {
    Arrays.fill(meanNanos, initialNanos);
  }

  void addSample(Priority priority, long nanos) {
    int index = priority.ordinal();
    meanNanos[index] += NEWEST_SAMPLE_WEIGHT * (nanos - meanNanos[index]);
  }

  double meanNanos(Priority priority) {
    return meanNanos[priority.ordinal()];
  }
}

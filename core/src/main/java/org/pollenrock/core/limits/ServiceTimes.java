package org.pollenrock.core.limits;

import java.util.Arrays;
import org.pollenrock.core.model.Priority;

/** Moving averages of how long requests of each class keep their slot. */
final class ServiceTimes {
  /** Weight of the newest sample; about the last 20 requests count. */
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

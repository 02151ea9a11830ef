package org.pollenrock.bench.control;

import java.util.List;

/**
 * Several measurements of one duration.
 *
 * @param nanos the measurements, in nanoseconds, in rising order; at least one
 */
public record Durations(List<Long> nanos) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Sorts the measurements. */
  public Durations {
    if (nanos.isEmpty()) {
      throw new IllegalArgumentException("no measurement");
    }
    nanos = nanos.stream().sorted().toList();
  }

  /**
   * The middle measurement, the higher of two.
   *
   * @return milliseconds
   */
  public double medianMs() {
    return nanos.get(nanos.size() / 2) / NANOS_PER_MILLI;
  }

  /**
   * The longest measurement.
   *
   * @return milliseconds
   */
  public double worstMs() {
    return nanos.getLast() / NANOS_PER_MILLI;
  }
}

package org.pollenrock.core.speed;

import java.util.OptionalDouble;

/** Usual time of the work of a group of servers, with which each response is compared. */
public final class UsualTime {
  /** Number of samples before the usual time is known. */
  private static final int MIN_SAMPLES = 20;

  /** Weight that earlier samples keep with each new one. */
  private static final double RETAINED = 0.97;

  private int samples;
  private double work;
  private double nanos;

  /** Creates the usual time of a group without responses. */
  public UsualTime() {}

  /**
   * Records the time of a response and compares it with that of the others.
   *
   * @param amount amount of work, in a unit that is the same for all responses of the group
   * @param elapsedNanos time that it took
   * @return the time relative to the usual time; empty after too few responses
   */
  public OptionalDouble record(double amount, long elapsedNanos) {
    OptionalDouble ratio =
        samples < MIN_SAMPLES || nanos == 0
            ? OptionalDouble.empty()
            : OptionalDouble.of(elapsedNanos * work / (nanos * amount));
    samples = Math.min(MIN_SAMPLES, samples + 1);
    work = RETAINED * work + amount;
    nanos = RETAINED * nanos + elapsedNanos;
    return ratio;
  }
}

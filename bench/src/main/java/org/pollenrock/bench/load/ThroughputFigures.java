package org.pollenrock.bench.load;

/**
 * Result of a closed loop of requests.
 *
 * @param requests answers that arrived, without the warm-up
 * @param wrong answers that were errors, not whole, or not the right ones, warm-up included
 * @param seconds measured time
 * @param p99Ms 99th percentile of the time to a whole answer
 */
public record ThroughputFigures(long requests, long wrong, double seconds, double p99Ms) {
  /**
   * Rate of answers.
   *
   * @return requests per second
   */
  public double perSecond() {
    return requests / seconds;
  }
}

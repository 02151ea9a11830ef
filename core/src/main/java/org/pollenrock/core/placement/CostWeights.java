package org.pollenrock.core.placement;

/**
 * Weights of the cost terms, from the settings {@code placement/ttft-weight}, {@code
 * placement/hit-weight} and {@code placement/spill-margin}.
 *
 * @param ttftWeight weight of the expected time to first token, at least 0
 * @param hitWeight weight of the future cache hits that are lost because newly cached blocks evict
 *     others, at least 0
 * @param spillMarginNanos gain, in nanoseconds and after the network delay, that a server in
 *     another data centre must offer
 */
public record CostWeights(double ttftWeight, double hitWeight, long spillMarginNanos) {
  /**
   * Default weights, with a spill margin of 50 ms, for requests that are placed without settings.
   */
  public static final CostWeights DEFAULT = new CostWeights(1.0, 0.5, 50_000_000L);

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException when a value is negative or not a number, or both weights are
   *     0
   */
  public CostWeights {
    if (!(ttftWeight >= 0) || !(hitWeight >= 0) || !(ttftWeight + hitWeight > 0)) {
      throw new IllegalArgumentException(
          "weights must not be negative or both 0: " + ttftWeight + ", " + hitWeight);
    }
    if (spillMarginNanos < 0) {
      throw new IllegalArgumentException(
          "spill margin must not be negative: " + spillMarginNanos + " ns");
    }
  }
}

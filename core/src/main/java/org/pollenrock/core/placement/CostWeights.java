package org.pollenrock.core.placement;

/**
 * Weights of the cost terms, from the settings {@code placement.ttft-weight}, {@code
 * placement.hit-weight} and {@code placement.spill-margin}.
 *
 * @param ttftWeight weight of the expected time to first token, at least 0
 * @param hitWeight weight of the future hits that newly cached blocks cost, at least 0
 * @param spillMarginNanos gain beyond the network delay that a server in another data centre must
 *     have, in nanoseconds
 */
public record CostWeights(double ttftWeight, double hitWeight, long spillMarginNanos) {
  /** Weights that apply when the settings name none; the margin is 50 ms. */
  public static final CostWeights DEFAULT = new CostWeights(1.0, 0.5, 50_000_000L);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException when a value is negative or not a number, or both weights are
   *     0
   */
  public CostWeights {
    if (!(ttftWeight >= 0) || !(hitWeight >= 0) || !(ttftWeight + hitWeight > 0)) {
      throw new IllegalArgumentException("weights " + ttftWeight + " and " + hitWeight);
    }
    if (spillMarginNanos < 0) {
      throw new IllegalArgumentException("spill margin " + spillMarginNanos + " ns");
    }
  }
}

package org.pollenrock.core.speed;

/**
 * Mean of samples of which the newest count most: the weight of earlier ones is bounded and falls
 * with time.
 */
final class DecayingMean {
  private final double maxWeight;
  private final double halfLifeNanos;
  private double mean;
  private double variance;
  private double weight;
  private long updatedNanos;

  /**
   * Creates a mean without samples.
   *
   * @param maxWeight bound of the weight of earlier samples, in samples
   * @param halfLifeNanos half-life of the weight of samples
   */
  DecayingMean(double maxWeight, double halfLifeNanos) {
    this.maxWeight = maxWeight;
    this.halfLifeNanos = halfLifeNanos;
  }

  /** Adds a sample. */
  void record(double value, long nowNanos) {
    double earlier = Math.min(maxWeight, weight(nowNanos));
    weight = earlier + 1;
    double deviation = value - mean;
    mean += deviation / weight;
    variance = earlier / weight * (variance + deviation * deviation / weight);
    updatedNanos = nowNanos;
  }

  /** Returns the mean; 0 without samples. */
  double mean() {
    return mean;
  }

  /** Returns the variance of the samples; 0 without samples. */
  double variance() {
    return variance;
  }

  /** Returns the weight of all samples, in samples. */
  double weight(long nowNanos) {
    return weight == 0
        ? 0
        : weight * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / halfLifeNanos);
  }
}

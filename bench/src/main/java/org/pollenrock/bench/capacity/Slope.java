package org.pollenrock.bench.capacity;

/**
 * Straight line through measured points by least squares.
 *
 * @param perUnit growth of the value with each unit of size
 * @param atZero value at size zero
 * @param fit coefficient of determination; 1 when the points lie on the line
 */
record Slope(double perUnit, double atZero, double fit) {
  static Slope through(long[] sizes, double[] values) {
    int count = sizes.length;
    double meanSize = 0;
    double meanValue = 0;
    for (int i = 0; i < count; i++) {
      meanSize += (double) sizes[i] / count;
      meanValue += values[i] / count;
    }
    double covariance = 0;
    double sizeVariance = 0;
    double valueVariance = 0;
    for (int i = 0; i < count; i++) {
      double size = sizes[i] - meanSize;
      double value = values[i] - meanValue;
      covariance += size * value;
      sizeVariance += size * size;
      valueVariance += value * value;
    }
    double perUnit = covariance / sizeVariance;
    double fit = valueVariance == 0 ? 1 : covariance * covariance / sizeVariance / valueVariance;
    return new Slope(perUnit, meanValue - perUnit * meanSize, fit);
  }
}

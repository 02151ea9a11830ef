package org.pollenrock.bench.capacity;

/**
 * A straight line through measured points.
 *
 * @param intercept value at 0
 * @param slope growth per unit
 * @param determination coefficient of determination; 1 when the points lie on the line
 */
public record LeastSquares(double intercept, double slope, double determination) {
  /**
   * Fits a line by least squares.
   *
   * @param x positions, at least two different ones
   * @param y measured values, as many as positions
   * @return the line
   * @throws IllegalArgumentException when the positions do not determine a line
   */
  public static LeastSquares fit(double[] x, double[] y) {
    double meanX = mean(x);
    double meanY = mean(y);
    double covariance = 0;
    double variance = 0;
    double varianceY = 0;
    for (int point = 0; point < x.length; point++) {
      covariance += (x[point] - meanX) * (y[point] - meanY);
      variance += (x[point] - meanX) * (x[point] - meanX);
      varianceY += (y[point] - meanY) * (y[point] - meanY);
    }
    if (x.length != y.length || variance == 0) {
      throw new IllegalArgumentException("a line needs points at two positions");
    }
    double slope = covariance / variance;
    double determination = varianceY == 0 ? 1 : covariance * covariance / variance / varianceY;
    return new LeastSquares(meanY - slope * meanX, slope, determination);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}

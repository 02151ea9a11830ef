package org.pollenrock.bench.capacity;

import java.util.List;

/**
 * Straight line with the least squared error through measured points.
 *
 * @param intercept value at 0
 * @param slope growth of the value per unit
 */
public record LeastSquaresLine(double intercept, double slope) {
  /**
   * One measured point.
   *
   * @param x size
   * @param y measured value
   */
  public record Point(double x, double y) {}

  /**
   * Fits a line.
   *
   * @param points at least two points of different sizes
   * @return the line
   * @throws IllegalArgumentException when the points do not determine a line
   */
  public static LeastSquaresLine fit(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.x() - meanX) * (point.y() - meanY);
      variance += (point.x() - meanX) * (point.x() - meanX);
    }
    if (variance == 0) {
      throw new IllegalArgumentException("points of at least two sizes are needed");
    }
    double slope = covariance / variance;
    return new LeastSquaresLine(meanY - slope * meanX, slope);
  }
}

package org.pollenrock.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class LeastSquaresTest {
  /** Guards against capacity figures from a wrong line. */
  @Test
  void fitsTheLineWithTheSmallestSquaredErrors() {
    LeastSquares line = LeastSquares.fit(new double[] {0, 1, 2}, new double[] {1, 3, 8});
    assertThat(line.slope()).isCloseTo(3.5, within(1e-9));
    assertThat(line.intercept()).isCloseTo(0.5, within(1e-9));
  }

  /** Guards against a fit that hides scattered points. */
  @Test
  void determinationTellsALineFromScatteredPoints() {
    double[] positions = {0, 1, 2};
    assertThat(LeastSquares.fit(positions, new double[] {1, 3, 5}).determination())
        .isCloseTo(1, within(1e-9));
    assertThat(LeastSquares.fit(positions, new double[] {0, 3, 0}).determination())
        .isCloseTo(0, within(1e-9));
  }

  /** Guards against a slope from points that determine none. */
  @Test
  void onePositionDeterminesNoLine() {
    assertThatThrownBy(() -> LeastSquares.fit(new double[] {2, 2}, new double[] {1, 3}))
        .isInstanceOf(IllegalArgumentException.class);
  }
}

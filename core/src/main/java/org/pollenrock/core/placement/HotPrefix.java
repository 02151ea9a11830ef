package org.pollenrock.core.placement;

import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * A prefix level and its request rate at one router, as routers tell each other.
 *
 * @param level key of the level for ranking; not a key of a cached block
 * @param ratePerSecond requests per second, at least 0
 */
public record HotPrefix(BlockKey level, double ratePerSecond) {
  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when the rate is negative or not a finite number
   */
  public HotPrefix {
    Objects.requireNonNull(level, "level");
    if (!(ratePerSecond >= 0) || Double.isInfinite(ratePerSecond)) {
      throw new IllegalArgumentException("rate " + ratePerSecond);
    }
  }
}

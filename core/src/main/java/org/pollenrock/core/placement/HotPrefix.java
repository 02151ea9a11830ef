package org.pollenrock.core.placement;

import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * A prefix level and its request rate at one router, as exchanged between routers.
 *
 * @param level key of the level for server ranking; not the key of a cached block
 * @param ratePerSecond requests per second, at least 0
 */
public record HotPrefix(BlockKey level, double ratePerSecond) {
  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException when the rate is negative or not a finite number
   */
  public HotPrefix {
    Objects.requireNonNull(level, "level");
    if (!(ratePerSecond >= 0) || Double.isInfinite(ratePerSecond)) {
      throw new IllegalArgumentException("rate must be finite and not negative: " + ratePerSecond);
    }
  }
}

package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Versions of the weights that a request may run on.
 *
 * @param newest newest named version, which it should run on
 * @param preferred oldest version that is as good as the newest for now
 * @param oldest oldest version that it may still run on
 */
public record WantedWeights(OptionalLong newest, OptionalLong preferred, OptionalLong oldest) {
  /** No version was named. */
  public static final WantedWeights NONE =
      new WantedWeights(OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());

  /**
   * Tells whether other servers should go before one.
   *
   * @param weights version that it is known to have
   * @return whether its weights were replaced some time ago
   */
  public boolean avoids(OptionalLong weights) {
    return isOlder(weights, preferred);
  }

  /**
   * Tells whether a server must not be used.
   *
   * @param weights version that it is known to have
   * @return whether it is too old
   */
  public boolean excludes(OptionalLong weights) {
    return isOlder(weights, oldest);
  }

  private static boolean isOlder(OptionalLong weights, OptionalLong bound) {
    return bound.isPresent() && weights.isPresent() && weights.getAsLong() < bound.getAsLong();
  }
}

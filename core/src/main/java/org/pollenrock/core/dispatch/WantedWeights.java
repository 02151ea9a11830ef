package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Versions of the weights that a request may run on.
 *
 * @param newest newest named version, which it should run on
 * @param preferred oldest version that is as good as the newest for now
 * @param usual oldest version that it may run on while there is a server that has it
 * @param oldest oldest version that it may run on at all
 */
public record WantedWeights(
    OptionalLong newest, OptionalLong preferred, OptionalLong usual, OptionalLong oldest) {
  /** No version was named. */
  public static final WantedWeights NONE = of(OptionalLong.empty());

  /**
   * Newest version that nothing is bound to yet.
   *
   * @param newest the version, if there is one
   * @return versions without a bound
   */
  public static WantedWeights of(OptionalLong newest) {
    return new WantedWeights(
        newest, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
  }

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
   * Tells whether a server is used only if there is no other.
   *
   * @param weights version that it is known to have
   * @return whether it is too old for now
   */
  public boolean leavesOut(OptionalLong weights) {
    return isOlder(weights, usual);
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

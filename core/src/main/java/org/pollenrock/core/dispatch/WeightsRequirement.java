package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Versions of the weights that a request may run on.
 *
 * @param newest newest named version, which it should run on
 * @param minPreferred oldest version that is as good as the newest for now
 * @param minRegular oldest version that it may run on while there is a server that has it
 * @param minAllowed oldest version that it may run on at all
 */
public record WeightsRequirement(
    OptionalLong newest,
    OptionalLong minPreferred,
    OptionalLong minRegular,
    OptionalLong minAllowed) {
  /** No version was named. */
  public static final WeightsRequirement NONE = unrestricted(OptionalLong.empty());

  /**
   * Newest version that nothing is bound to yet.
   *
   * @param newest the version, if there is one
   * @return versions without a bound
   */
  public static WeightsRequirement unrestricted(OptionalLong newest) {
    return new WeightsRequirement(
        newest, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Tells whether other servers should go before one.
   *
   * @param weights version that it is known to have
   * @return whether its weights were replaced some time ago
   */
  public boolean isPenalized(OptionalLong weights) {
    return isOlder(weights, minPreferred);
  }

  /**
   * Tells whether a server is used only if there is no other.
   *
   * @param weights version that it is known to have
   * @return whether it is too old for now
   */
  public boolean isFallbackOnly(OptionalLong weights) {
    return isOlder(weights, minRegular);
  }

  /**
   * Tells whether a server must not be used.
   *
   * @param weights version that it is known to have
   * @return whether it is too old
   */
  public boolean isExcluded(OptionalLong weights) {
    return isOlder(weights, minAllowed);
  }

  private static boolean isOlder(OptionalLong weights, OptionalLong bound) {
    return bound.isPresent() && weights.isPresent() && weights.getAsLong() < bound.getAsLong();
  }
}

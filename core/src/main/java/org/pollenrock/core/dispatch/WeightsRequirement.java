package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Versions of a model's weights on which a request may run.
 *
 * @param newest newest published version, on which the request should run
 * @param minPreferred oldest version that is as good as the newest one at present
 * @param minRegular oldest version that may be used while a server with such a version is
 *     available; older ones are used only as a fallback
 * @param minAllowed oldest version that may be used at all
 */
public record WeightsRequirement(
    OptionalLong newest,
    OptionalLong minPreferred,
    OptionalLong minRegular,
    OptionalLong minAllowed) {
  /** Requirement of a model without a published version. */
  public static final WeightsRequirement NONE = unrestricted(OptionalLong.empty());

  /**
   * Creates a requirement that allows all versions.
   *
   * @param newest newest version, if there is one
   * @return the requirement
   */
  public static WeightsRequirement unrestricted(OptionalLong newest) {
    return new WeightsRequirement(
        newest, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Returns whether selecting a server has an additional cost because of its old weights.
   *
   * @param weights version that the server is known to have
   * @return whether the version was replaced some time ago
   */
  public boolean isPenalized(OptionalLong weights) {
    return isOlder(weights, minPreferred);
  }

  /**
   * Returns whether a server may be used only if no server has newer weights.
   *
   * @param weights version that the server is known to have
   * @return whether the version is older than the regular ones
   */
  public boolean isFallbackOnly(OptionalLong weights) {
    return isOlder(weights, minRegular);
  }

  /**
   * Returns whether a server must not be used.
   *
   * @param weights version that the server is known to have
   * @return whether the version is too old
   */
  public boolean isExcluded(OptionalLong weights) {
    return isOlder(weights, minAllowed);
  }

  private static boolean isOlder(OptionalLong weights, OptionalLong bound) {
    return bound.isPresent() && weights.isPresent() && weights.getAsLong() < bound.getAsLong();
  }
}

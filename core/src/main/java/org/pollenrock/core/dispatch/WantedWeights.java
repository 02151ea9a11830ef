package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Version of the weights that a request should run on.
 *
 * @param version the named version, if there is one
 * @param binding whether older weights must not be used any more
 */
public record WantedWeights(OptionalLong version, boolean binding) {
  /** No version was named. */
  public static final WantedWeights NONE = new WantedWeights(OptionalLong.empty(), false);

  /**
   * Tells whether weights are as new as wanted.
   *
   * @param weights version that a server is known to have
   * @return whether it is; true as well when either is unknown
   */
  public boolean met(OptionalLong weights) {
    return version.isEmpty() || weights.isEmpty() || weights.getAsLong() >= version.getAsLong();
  }

  /**
   * Tells whether a server must not be used.
   *
   * @param weights version that it is known to have
   * @return whether older weights are forbidden and it has such
   */
  public boolean excludes(OptionalLong weights) {
    return binding && !met(weights);
  }
}

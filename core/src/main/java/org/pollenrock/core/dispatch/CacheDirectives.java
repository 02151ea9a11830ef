package org.pollenrock.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an engine is told of a prompt's cache.
 *
 * @param salt text under which cached parts are found; differs between versions of the weights and
 *     between customers that share nothing
 * @param weights version of the weights that it must have; empty when it is not known
 * @param fetchFrom address from which to fetch what it lacks of the prompt's prefix
 * @param saveTo address to which to save the prompt
 */
public record CacheDirectives(
    String salt, OptionalLong weights, Optional<String> fetchFrom, Optional<String> saveTo) {
  /**
   * Use of nothing but what the engine keeps itself.
   *
   * @param scope customers that share cached parts
   * @param weights version of the weights, if known
   * @return the use
   */
  static CacheDirectives localOnly(String scope, OptionalLong weights) {
    return new CacheDirectives(
        text(scope, weights.orElse(0)), weights, Optional.empty(), Optional.empty());
  }

  /**
   * Text under which parts are cached.
   *
   * @param scope customers that share them
   * @param weights version of the weights; 0 when it is not known
   * @return the text
   */
  public static String text(String scope, long weights) {
    return scope + "@" + weights;
  }
}

package org.pollenrock.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Instructions to an engine about the cache entries of a prompt.
 *
 * @param salt cache salt that keeps entries apart between versions of the weights, and between
 *     customers that don't share a cache
 * @param weights version of the weights that the engine must have; empty if unknown
 * @param fetchFrom address from which the engine can fetch the part of the prefix that it has not
 *     cached
 * @param saveTo address to which the engine should save the prompt
 */
public record CacheDirectives(
    String salt, OptionalLong weights, Optional<String> fetchFrom, Optional<String> saveTo) {
  private static final char VERSION_MARK = '@';

  /**
   * Creates directives that use only the engine's own cache.
   *
   * @param scope cache scope, which identifies the customers that share cache entries
   * @param weights version of the weights, if known
   * @return the directives
   */
  static CacheDirectives localOnly(String scope, OptionalLong weights) {
    return new CacheDirectives(
        salt(scope, weights.orElse(0)), weights, Optional.empty(), Optional.empty());
  }

  /**
   * Returns the cache scope.
   *
   * @return the scope, which identifies the customers that share cache entries
   */
  public String scope() {
    return salt.substring(0, salt.lastIndexOf(VERSION_MARK));
  }

  /**
   * Returns the cache salt of a scope and a version of the weights.
   *
   * @param scope cache scope, which identifies the customers that share cache entries
   * @param weights version of the weights; 0 if unknown
   * @return the cache salt
   */
  public static String salt(String scope, long weights) {
    return scope + VERSION_MARK + weights;
  }
}

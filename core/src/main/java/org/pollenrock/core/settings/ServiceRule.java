package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * Says whether calls with a method and path are idempotent.
 *
 * @param method the HTTP method in capitals, or {@code *} for any
 * @param path pattern below the service's path: {@code *} stands for one segment and a last {@code
 *     **} for the rest
 * @param idempotent whether a repeated call has the effect of one
 */
public record ServiceRule(String method, String path, boolean idempotent) {
  /** Checks that all parts are present. */
  public ServiceRule {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
  }

  /**
   * Tells whether a call is under this rule.
   *
   * @param callMethod its HTTP method in capitals
   * @param callPath its path below the service's path, starting with a slash
   * @return true when method and path match
   */
  public boolean matches(String callMethod, String callPath) {
    return (method.equals("*") || method.equals(callMethod)) && matchesPath(callPath);
  }

  private boolean matchesPath(String callPath) {
    String[] pattern = path.split("/", -1);
    String[] segments = callPath.split("/", -1);
    for (int i = 0; i < pattern.length; i++) {
      if (pattern[i].equals("**") && i == pattern.length - 1) {
        return true;
      }
      if (i >= segments.length || !pattern[i].equals("*") && !pattern[i].equals(segments[i])) {
        return false;
      }
    }
    return pattern.length == segments.length;
  }
}

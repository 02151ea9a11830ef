package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;

/**
 * What the tree says of a plain service.
 *
 * @param path prefix of the request paths that go to it, such as {@code /ledger}
 * @param backend name of the service in the instance list
 * @param rules which calls are idempotent; the first rule that matches decides
 */
public record ServiceSettings(String path, String backend, List<ServiceRule> rules) {
  /** Copies the rules. */
  public ServiceSettings {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(backend, "backend");
    rules = List.copyOf(rules);
  }

  /**
   * Tells whether a request path goes to this service.
   *
   * @param requestPath the path without query
   * @return true when the path is the prefix or lies below it
   */
  public boolean serves(String requestPath) {
    return requestPath.startsWith(path)
        && (requestPath.length() == path.length() || requestPath.charAt(path.length()) == '/');
  }

  /**
   * Tells whether a call may be repeated. A call that no rule names is not idempotent, so that a
   * forgotten rule never makes a call run twice.
   *
   * @param method its HTTP method in capitals
   * @param requestPath its path without query, one that {@link #serves} accepts
   * @return true when a rule says so
   */
  public boolean idempotent(String method, String requestPath) {
    String below = requestPath.substring(path.length());
    String callPath = below.isEmpty() ? "/" : below;
    return rules.stream()
        .filter(rule -> rule.matches(method, callPath))
        .findFirst()
        .map(ServiceRule::idempotent)
        .orElse(false);
  }
}

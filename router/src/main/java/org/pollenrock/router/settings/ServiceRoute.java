package org.pollenrock.router.settings;

import java.util.Objects;

/**
 * A plain service and how one call of it is treated.
 *
 * @param service name in the settings
 * @param backend service name of its servers in the instance list
 * @param idempotent whether the call may be repeated
 */
public record ServiceRoute(String service, String backend, boolean idempotent) {
  /** Checks that the names are present. */
  public ServiceRoute {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(backend, "backend");
  }
}

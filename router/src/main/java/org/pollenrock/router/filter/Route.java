package org.pollenrock.router.filter;

import org.pollenrock.core.model.ModelId;

/** What serves a request. */
public sealed interface Route {
  /**
   * A model on engines.
   *
   * @param model the model
   */
  record Model(ModelId model) implements Route {}

  /**
   * A plain service.
   *
   * @param name name in the settings
   * @param backend service name of its servers in the instance list
   * @param idempotent whether the call may be repeated
   */
  record Service(String name, String backend, boolean idempotent) implements Route {}
}

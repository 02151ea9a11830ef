package org.pollenrock.router.filter;

import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.router.settings.ServiceRoute;

/** What serves a request. */
public sealed interface Route {
  /**
   * A model on engines.
   *
   * @param model the model
   * @param settingsVersion weights version that the settings name
   */
  record Model(ModelId model, WeightsVersion settingsVersion) implements Route {}

  /**
   * A plain service.
   *
   * @param service the service and how the call is treated
   */
  record Service(ServiceRoute service) implements Route {}
}

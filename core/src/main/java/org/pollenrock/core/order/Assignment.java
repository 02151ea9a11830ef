package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Model, weights version and role that a server serves or is ordered to serve.
 *
 * @param model the model
 * @param version weights version of the model
 * @param role role of the engine, as spelled in the order API
 */
public record Assignment(ModelId model, WeightsVersion version, String role) {
  /** Checks that no component is null. */
  public Assignment {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(role, "role");
  }
}

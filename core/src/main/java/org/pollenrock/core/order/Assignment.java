package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * What a server serves or shall serve.
 *
 * @param model the model
 * @param version version of its weights
 * @param role role of the engine as the order API spells it
 */
public record Assignment(ModelId model, WeightsVersion version, String role) {
  /** Checks that the parts are present. */
  public Assignment {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(role, "role");
  }
}

package org.pollenrock.core.placement;

import java.util.Objects;
import java.util.Set;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A model that a server reports as loaded.
 *
 * @param model the model
 * @param weights the version of its weights
 * @param adapters adapters that are loaded with it
 */
public record ServedModel(ModelId model, WeightsVersion weights, Set<AdapterId> adapters) {
  /** Checks and copies the parts. */
  public ServedModel {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(weights, "weights");
    adapters = Set.copyOf(adapters);
  }
}

package org.pollenrock.core.placement;

import java.util.Objects;
import java.util.Set;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A model that a server reports as loaded. Operators see the text form of this record, so its name
 * and the names of its components must stay.
 *
 * @param model the model
 * @param weights the loaded version of the model's weights
 * @param adapters the adapters that are loaded for the model
 */
public record ServedModel(ModelId model, WeightsVersion weights, Set<AdapterId> adapters) {
  /** Validates and copies the components. */
  public ServedModel {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(weights, "weights");
    adapters = Set.copyOf(adapters);
  }
}

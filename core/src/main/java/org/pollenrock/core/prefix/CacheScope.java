package org.pollenrock.core.prefix;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * What has to be equal before one request may use blocks that another one cached.
 *
 * @param customer the customer that the prompt belongs to
 * @param model the model that computed the blocks
 * @param adapter the adapter that was active, if any
 * @param weights the weights version that the blocks were computed under
 */
public record CacheScope(
    CustomerId customer, ModelId model, Optional<AdapterId> adapter, WeightsVersion weights) {
  /** Checks that every part is present. */
  public CacheScope {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(weights, "weights");
  }
}

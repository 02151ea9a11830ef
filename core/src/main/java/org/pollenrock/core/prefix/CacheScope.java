package org.pollenrock.core.prefix;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Scope of cached blocks. A request can use the cached blocks of another request only when their
 * scopes are equal.
 *
 * @param customer the customer that the prompt belongs to
 * @param model the model that computed the blocks
 * @param adapter the adapter that was active, if there was one
 * @param weights the weights version that the blocks were computed under
 */
public record CacheScope(
    CustomerId customer, ModelId model, Optional<AdapterId> adapter, WeightsVersion weights) {
  /** Checks that no component is null. */
  public CacheScope {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(weights, "weights");
  }
}

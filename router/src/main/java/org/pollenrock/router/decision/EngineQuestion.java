package org.pollenrock.router.decision;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.placement.PlacementRequest;
import org.pollenrock.core.prefix.PromptBlocks;
import org.pollenrock.router.settings.RequestValues;

/**
 * A model request that needs an engine.
 *
 * @param requestId identity of the request, under which the choice can be explained
 * @param customer whose request it is
 * @param model the model
 * @param blocks blocks of the prompt
 * @param levelEnds full blocks at the end of each nested level of the prompt
 * @param values values in force
 * @param avoided servers that failed for this request already
 */
public record EngineQuestion(
    String requestId,
    CustomerId customer,
    ModelId model,
    PromptBlocks blocks,
    List<Integer> levelEnds,
    RequestValues values,
    Set<BackendServerId> avoided) {
  /** Copies the collections. */
  public EngineQuestion {
    Objects.requireNonNull(requestId, "requestId");
    levelEnds = List.copyOf(levelEnds);
    avoided = Set.copyOf(avoided);
  }

  PlacementRequest placement(Set<BackendServerId> excluded, Optional<WeightsVersion> weights) {
    return new PlacementRequest(
        customer,
        model,
        Optional.empty(),
        blocks,
        levelEnds,
        blocks.estimatedTokens(),
        values.effective().priority(),
        weights,
        excluded,
        values.weights());
  }
}

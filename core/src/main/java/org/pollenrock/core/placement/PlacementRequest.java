package org.pollenrock.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PromptBlocks;

/**
 * A model request that needs a server.
 *
 * @param customer whose prompt it is
 * @param model the model
 * @param adapter the adapter, if any
 * @param blocks content digests of the prompt
 * @param levelEnds full blocks at the end of each nested prefix level (service, customer, dossier),
 *     strictly ascending, each between 1 and the number of blocks
 * @param promptTokens length of the whole prompt in tokens, at least 1
 * @param priority class of the request
 * @param requiredWeights the only weights version that is acceptable; a stream that continues
 *     elsewhere needs the version that it began with
 * @param excluded servers that must not be chosen, for example ejected or already tried ones
 * @param costWeights weights from the effective settings of the caller
 */
public record PlacementRequest(
    CustomerId customer,
    ModelId model,
    Optional<AdapterId> adapter,
    PromptBlocks blocks,
    List<Integer> levelEnds,
    int promptTokens,
    Priority priority,
    Optional<WeightsVersion> requiredWeights,
    Set<BackendServerId> excluded,
    CostWeights costWeights) {
  /**
   * Checks and copies the parts.
   *
   * @throws IllegalArgumentException when a level is outside the prompt or not ascending, or the
   *     prompt has no token
   */
  public PlacementRequest {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(blocks, "blocks");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(requiredWeights, "requiredWeights");
    Objects.requireNonNull(costWeights, "costWeights");
    levelEnds = List.copyOf(levelEnds);
    excluded = Set.copyOf(excluded);
    int previous = 0;
    for (int end : levelEnds) {
      if (end <= previous || end > blocks.count()) {
        throw new IllegalArgumentException("levels must ascend within the prompt: " + levelEnds);
      }
      previous = end;
    }
    if (promptTokens < 1) {
      throw new IllegalArgumentException("a prompt has at least one token: " + promptTokens);
    }
  }

  /**
   * Creates a request without adapter, required version or exclusions whose only level is the whole
   * prompt.
   *
   * @param customer whose prompt it is
   * @param model the model
   * @param blocks content digests of the prompt
   * @param priority class of the request
   * @return the request
   */
  public static PlacementRequest of(
      CustomerId customer, ModelId model, PromptBlocks blocks, Priority priority) {
    List<Integer> levels = blocks.count() == 0 ? List.of() : List.of(blocks.count());
    return new PlacementRequest(
        customer,
        model,
        Optional.empty(),
        blocks,
        levels,
        blocks.estimatedTokens(),
        priority,
        Optional.empty(),
        Set.of(),
        CostWeights.DEFAULT);
  }

  /**
   * The same request with other levels.
   *
   * @param ends full blocks at the end of each level
   * @return a copy
   */
  public PlacementRequest withLevels(List<Integer> ends) {
    return new PlacementRequest(
        customer,
        model,
        adapter,
        blocks,
        ends,
        promptTokens,
        priority,
        requiredWeights,
        excluded,
        costWeights);
  }

  /**
   * The same request, restricted to one weights version.
   *
   * @param weights the only acceptable version
   * @return a copy
   */
  public PlacementRequest requiring(WeightsVersion weights) {
    return new PlacementRequest(
        customer,
        model,
        adapter,
        blocks,
        levelEnds,
        promptTokens,
        priority,
        Optional.of(weights),
        excluded,
        costWeights);
  }

  /**
   * The same request with other exclusions.
   *
   * @param servers servers that must not be chosen
   * @return a copy
   */
  public PlacementRequest excluding(Set<BackendServerId> servers) {
    return new PlacementRequest(
        customer,
        model,
        adapter,
        blocks,
        levelEnds,
        promptTokens,
        priority,
        requiredWeights,
        servers,
        costWeights);
  }

  /**
   * The same request with other weights of the cost terms.
   *
   * @param weights weights from the settings
   * @return a copy
   */
  public PlacementRequest withCostWeights(CostWeights weights) {
    return new PlacementRequest(
        customer,
        model,
        adapter,
        blocks,
        levelEnds,
        promptTokens,
        priority,
        requiredWeights,
        excluded,
        weights);
  }

  /**
   * Tokens that one full block stands for.
   *
   * @return tokens per block, 0 when there is no full block
   */
  public double tokensPerBlock() {
    return blocks.count() == 0
        ? 0
        : (double) promptTokens * blocks.blockSizeBytes() / blocks.promptBytes();
  }
}

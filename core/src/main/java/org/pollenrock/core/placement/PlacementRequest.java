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
 * A model request that has to be placed on a server.
 *
 * @param customer the customer that the prompt belongs to
 * @param model the model
 * @param adapter the adapter, if the request needs one
 * @param blocks content digests of the prompt
 * @param levelEnds number of full blocks up to the end of each nested prefix level (service,
 *     customer, dossier), strictly ascending, each between 1 and the number of blocks
 * @param promptTokens length of the whole prompt in tokens, at least 1
 * @param priority priority of the request
 * @param requiredWeights the only acceptable weights version; a stream that is resumed on another
 *     server requires the version that it started with
 * @param excluded servers that must not be chosen, for example ejected servers or servers that were
 *     already tried
 * @param costWeights weights of the cost terms from the effective settings of the caller
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
   * Validates and copies the components.
   *
   * @throws IllegalArgumentException when the levels are not strictly ascending within the prompt
   *     or the prompt has no token
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
        throw new IllegalArgumentException(
            "level ends must be strictly ascending and within the prompt: " + levelEnds);
      }
      previous = end;
    }
    if (promptTokens < 1) {
      throw new IllegalArgumentException("a prompt must have at least one token: " + promptTokens);
    }
  }

  /**
   * Creates a request whose only prefix level is the whole prompt, without adapter, required
   * weights version or excluded servers.
   *
   * @param customer the customer that the prompt belongs to
   * @param model the model
   * @param blocks content digests of the prompt
   * @param priority priority of the request
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
   * Returns a copy of the request with other prefix levels.
   *
   * @param ends number of full blocks up to the end of each level
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
   * Returns a copy of the request that is restricted to one weights version.
   *
   * @param weights the only acceptable weights version
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
   * Returns a copy of the request with other excluded servers.
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
   * Returns a copy of the request with other weights of the cost terms.
   *
   * @param weights weights of the cost terms
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
   * Returns the average number of prompt tokens in a full block.
   *
   * @return tokens per block, 0 when the prompt has no full block
   */
  public double tokensPerBlock() {
    return blocks.count() == 0
        ? 0
        : (double) promptTokens * blocks.blockSizeBytes() / blocks.promptBytes();
  }
}

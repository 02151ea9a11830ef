package org.pollenrock.adapters.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * An engine's report about itself.
 *
 * @param incarnation the engine's incarnation
 * @param state {@code live} or {@code leaving}
 * @param models what it serves
 * @param queueTokens prompt tokens waiting
 * @param running requests running
 * @param slots requests that can run at once
 * @param prefillTokensPerSecond measured prefill rate
 * @param decodeTokensPerSecond measured decode rate
 * @param cacheBlocks blocks cached
 * @param cacheCapacityBlocks blocks that fit
 * @param storedBlocksPerSecond measured rate of stored blocks
 * @param timeMillis wall clock of the engine, in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServerReport(
    @JsonProperty("incarnation") long incarnation,
    @JsonProperty("state") String state,
    @JsonProperty("models") List<ServedModel> models,
    @JsonProperty("queue_tokens") long queueTokens,
    @JsonProperty("running") int running,
    @JsonProperty("slots") int slots,
    @JsonProperty("prefill_tokens_per_second") double prefillTokensPerSecond,
    @JsonProperty("decode_tokens_per_second") double decodeTokensPerSecond,
    @JsonProperty("cache_blocks") long cacheBlocks,
    @JsonProperty("cache_capacity_blocks") long cacheCapacityBlocks,
    @JsonProperty("stored_blocks_per_second") double storedBlocksPerSecond,
    @JsonProperty("time_ms") long timeMillis) {
  /** Replaces absent parts by empty ones. */
  public ServerReport {
    state = state == null ? "" : state;
    models = models == null ? List.of() : List.copyOf(models);
  }

  /**
   * Whether the engine says that it takes no new work.
   *
   * @return true when leaving
   */
  public boolean leaving() {
    return state.equals("leaving");
  }

  /**
   * A model on an engine.
   *
   * @param model model name
   * @param version weights version
   * @param adapters names of loaded adapters
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ServedModel(
      @JsonProperty("model") String model,
      @JsonProperty("version") String version,
      @JsonProperty("adapters") List<String> adapters) {
    /** Replaces absent parts by empty ones. */
    public ServedModel {
      model = model == null ? "" : model;
      version = version == null ? "" : version;
      adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }
  }
}

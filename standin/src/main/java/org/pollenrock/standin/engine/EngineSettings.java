package org.pollenrock.standin.engine;

import java.time.Duration;

/**
 * Capacity and habits of one engine.
 *
 * @param name name of the server
 * @param model the model that it serves
 * @param version weights version at the start
 * @param slots sequences that run at once
 * @param prefillTokensPerSecond prefill rate
 * @param chunkTokens prefill tokens of one step; a step is not preempted
 * @param decodeStep time of one decode step, whatever the number of sequences
 * @param cacheBlocks capacity of the prefix cache
 * @param bytesPerBlock prompt bytes of one cache block
 * @param bytesPerToken prompt bytes that count as one token
 * @param reportLag age of the load report
 * @param eventLag age at which cache events appear
 * @param checksIdentity whether it refuses a request that expects another incarnation or version
 * @param checksFencing whether it refuses an order with an old fencing number
 */
public record EngineSettings(
    String name,
    String model,
    String version,
    int slots,
    int prefillTokensPerSecond,
    int chunkTokens,
    Duration decodeStep,
    int cacheBlocks,
    int bytesPerBlock,
    int bytesPerToken,
    Duration reportLag,
    Duration eventLag,
    boolean checksIdentity,
    boolean checksFencing) {

  /**
   * An engine with the default capacity.
   *
   * @param name name of the server
   * @param model the model that it serves
   * @param version weights version at the start
   * @return settings that can be varied further
   */
  public static EngineSettings of(String name, String model, String version) {
    return new EngineSettings(
        name,
        model,
        version,
        16,
        20_000,
        2_048,
        Duration.ofMillis(10),
        400,
        4_096,
        4,
        Duration.ofMillis(200),
        Duration.ofMillis(100),
        true,
        true);
  }

  /**
   * The same engine with another cache size.
   *
   * @param blocks capacity of the prefix cache
   * @return a copy
   */
  public EngineSettings withCacheBlocks(int blocks) {
    return new EngineSettings(
        name,
        model,
        version,
        slots,
        prefillTokensPerSecond,
        chunkTokens,
        decodeStep,
        blocks,
        bytesPerBlock,
        bytesPerToken,
        reportLag,
        eventLag,
        checksIdentity,
        checksFencing);
  }

  /**
   * Tokens of one cache block.
   *
   * @return bytes of a block over bytes of a token
   */
  public int blockTokens() {
    return bytesPerBlock / bytesPerToken;
  }
}

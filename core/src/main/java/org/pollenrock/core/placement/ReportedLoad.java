package org.pollenrock.core.placement;

/**
 * Load figures of one server report.
 *
 * @param queueTokens prompt tokens that wait for prefill
 * @param running requests that hold a slot
 * @param slots requests that can run at the same time, at least 1
 * @param prefillTokensPerSecond measured prefill rate
 * @param cacheCapacityBlocks blocks that the prefix cache can hold
 * @param storedBlocksPerSecond measured rate of newly cached blocks
 */
public record ReportedLoad(
    long queueTokens,
    int running,
    int slots,
    double prefillTokensPerSecond,
    long cacheCapacityBlocks,
    double storedBlocksPerSecond) {
  /** Prefill rate that is assumed while a server has not measured one, in tokens per second. */
  public static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

  /** Replaces absent or invalid figures by usable ones. */
  public ReportedLoad {
    queueTokens = Math.max(0, queueTokens);
    running = Math.max(0, running);
    slots = Math.max(1, slots);
    if (!(prefillTokensPerSecond > 0) || Double.isInfinite(prefillTokensPerSecond)) {
      prefillTokensPerSecond = DEFAULT_PREFILL_TOKENS_PER_SECOND;
    }
    cacheCapacityBlocks = Math.max(0, cacheCapacityBlocks);
    if (!(storedBlocksPerSecond > 0) || Double.isInfinite(storedBlocksPerSecond)) {
      storedBlocksPerSecond = 0;
    }
  }
}

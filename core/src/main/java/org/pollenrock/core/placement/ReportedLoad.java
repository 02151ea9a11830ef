package org.pollenrock.core.placement;

/**
 * Load figures in one server report.
 *
 * @param queueTokens number of prompt tokens that wait for prefill
 * @param running number of requests that hold a slot
 * @param slots number of requests that can run at the same time, at least 1
 * @param prefillTokensPerSecond prefill rate that the server measured
 * @param cacheCapacityBlocks number of blocks that the prefix cache can hold; 0 when unknown
 * @param storedBlocksPerSecond rate of newly cached blocks that the server measured; 0 when unknown
 */
public record ReportedLoad(
    long queueTokens,
    int running,
    int slots,
    double prefillTokensPerSecond,
    long cacheCapacityBlocks,
    double storedBlocksPerSecond) {
  /** Assumed prefill rate of a server that has not measured its rate yet, in tokens per second. */
  public static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

  /** Replaces missing or invalid figures by defaults. */
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

package org.pollenrock.core.cache;

import org.pollenrock.core.prefix.PrefixChain;

/**
 * A chain whose blocks have been found in a {@link CacheIndex}; valid until the index changes.
 *
 * <p>One placement asks about the same chain for each candidate, so the blocks are found once.
 */
public final class ChainLookup {
  private final PrefixChain chain;
  private final int[] blockSlots;
  private final long version;

  ChainLookup(PrefixChain chain, int[] blocks, long version) {
    this.chain = chain;
    this.blockSlots = blocks;
    this.version = version;
  }

  /**
   * The chain that was looked up.
   *
   * @return the chain
   */
  public PrefixChain chain() {
    return chain;
  }

  int[] blockSlots() {
    return blockSlots;
  }

  void requireVersion(long current) {
    if (version != current) {
      throw new IllegalStateException("the index changed after the lookup");
    }
  }
}

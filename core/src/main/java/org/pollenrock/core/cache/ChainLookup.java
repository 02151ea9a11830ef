package org.pollenrock.core.cache;

import org.pollenrock.core.prefix.PrefixChain;

/**
 * Result of looking up the blocks of a chain in a {@link CacheIndex}; valid until the index
 * changes.
 *
 * <p>A placement queries the same chain for each candidate server, so the blocks are looked up only
 * once.
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
   * Returns the chain that was looked up.
   *
   * @return the chain
   */
  public PrefixChain chain() {
    return chain;
  }

  /**
   * Returns the slot of each block in the {@link BlockTable}, {@link IntLinkedLists#NONE} for a
   * block that the index does not contain.
   */
  int[] blockSlots() {
    return blockSlots;
  }

  /**
   * Checks that the index has not changed since the lookup.
   *
   * @throws IllegalStateException when the current version of the index is another one
   */
  void requireVersion(long currentVersion) {
    if (version != currentVersion) {
      throw new IllegalStateException("cache index changed after the chain was looked up");
    }
  }
}

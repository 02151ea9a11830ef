package org.pollenrock.core.cache;

import java.util.Arrays;
import org.pollenrock.core.prefix.CacheScope;

/**
 * Hash table of the blocks that at least one entry refers to.
 *
 * <p>A block is identified by its slot. Key, scope and customer slot are stored in parallel arrays,
 * and blocks of the same bucket are linked by their slots. The scope is null while no request of
 * this router has used the block.
 */
final class BlockTable {
  static final int NONE = IntLinkedLists.NONE;

  private static final int INITIAL_BLOCKS = 256;

  private long[] high = new long[INITIAL_BLOCKS];
  private long[] low = new long[INITIAL_BLOCKS];
  private CacheScope[] scopes = new CacheScope[INITIAL_BLOCKS];
  private int[] customerSlots = new int[INITIAL_BLOCKS];
  private int[] nextInBucket = new int[INITIAL_BLOCKS];
  private int[] buckets = emptyBuckets(INITIAL_BLOCKS);

  /** Number of slots that have ever been in use. */
  private int allocatedCount;

  /** First slot of the list of free slots, which is linked through {@code nextInBucket}. */
  private int firstFree = NONE;

  private static int[] emptyBuckets(int length) {
    int[] array = new int[length];
    Arrays.fill(array, NONE);
    return array;
  }

  /**
   * Returns the slot of a block, or {@link #NONE}.
   *
   * <p>Keys are digests, so their low bits spread evenly over the buckets.
   */
  int find(long keyHigh, long keyLow) {
    int block = buckets[(int) keyLow & (buckets.length - 1)];
    while (block != NONE && (low[block] != keyLow || high[block] != keyHigh)) {
      block = nextInBucket[block];
    }
    return block;
  }

  /** Adds a block that the table does not contain and returns its slot. */
  int add(long keyHigh, long keyLow, CacheScope scope, int customerSlot) {
    if (firstFree == NONE && allocatedCount == high.length) {
      grow();
    }
    int block = firstFree;
    if (block == NONE) {
      block = allocatedCount++;
    } else {
      firstFree = nextInBucket[block];
    }
    high[block] = keyHigh;
    low[block] = keyLow;
    scopes[block] = scope;
    customerSlots[block] = customerSlot;
    addToBucket(block);
    return block;
  }

  /** Removes a block and frees its slot. */
  void remove(int block) {
    int bucket = (int) low[block] & (buckets.length - 1);
    if (buckets[bucket] == block) {
      buckets[bucket] = nextInBucket[block];
    } else {
      int previous = buckets[bucket];
      while (nextInBucket[previous] != block) {
        previous = nextInBucket[previous];
      }
      nextInBucket[previous] = nextInBucket[block];
    }
    scopes[block] = null;
    nextInBucket[block] = firstFree;
    firstFree = block;
  }

  /** Returns the scope of a block, null when it is unknown. */
  CacheScope scope(int block) {
    return scopes[block];
  }

  /** Returns the slot of the block's customer in the {@link CustomerTable}. */
  int customerSlot(int block) {
    return customerSlots[block];
  }

  /** Sets the scope and the customer of a block. */
  void setOwner(int block, CacheScope scope, int customerSlot) {
    scopes[block] = scope;
    customerSlots[block] = customerSlot;
  }

  /** Returns the last 64 bits of the key of a block. */
  long low(int block) {
    return low[block];
  }

  /** Returns the first 64 bits of the key of a block. */
  long high(int block) {
    return high[block];
  }

  private void addToBucket(int block) {
    int bucket = (int) low[block] & (buckets.length - 1);
    nextInBucket[block] = buckets[bucket];
    buckets[bucket] = block;
  }

  /**
   * Doubles the size of the table. Called only while every slot is in use, so that all blocks are
   * added to the new buckets.
   */
  private void grow() {
    int length = 2 * high.length;
    high = Arrays.copyOf(high, length);
    low = Arrays.copyOf(low, length);
    scopes = Arrays.copyOf(scopes, length);
    customerSlots = Arrays.copyOf(customerSlots, length);
    nextInBucket = Arrays.copyOf(nextInBucket, length);
    buckets = emptyBuckets(length);
    for (int block = 0; block < allocatedCount; block++) {
      addToBucket(block);
    }
  }
}

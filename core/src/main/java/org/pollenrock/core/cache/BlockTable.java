package org.pollenrock.core.cache;

import java.util.Arrays;
import org.pollenrock.core.prefix.CacheScope;

/** Blocks that at least one entry refers to: key, scope and customer in primitive arrays. */
final class BlockTable {
  static final int NONE = IntLinkedLists.NONE;

  private static final int INITIAL_BLOCKS = 256;

  private long[] high = new long[INITIAL_BLOCKS];
  private long[] low = new long[INITIAL_BLOCKS];
  private CacheScope[] scopes = new CacheScope[INITIAL_BLOCKS];
  private int[] customerSlots = new int[INITIAL_BLOCKS];
  private int[] nextInBucket = new int[INITIAL_BLOCKS];
  private int[] buckets = emptyBuckets(INITIAL_BLOCKS);
  private int allocatedCount;
  private int firstFree = NONE;

  private static int[] emptyBuckets(int length) {
    int[] array = new int[length];
    Arrays.fill(array, NONE);
    return array;
  }

  /** Finds a block; keys are digests, so their low bits spread evenly over the buckets. */
  int find(long keyHigh, long keyLow) {
    int block = buckets[(int) keyLow & (buckets.length - 1)];
    while (block != NONE && (low[block] != keyLow || high[block] != keyHigh)) {
      block = nextInBucket[block];
    }
    return block;
  }

  int add(long keyHigh, long keyLow, CacheScope blockScope, int customerSlot) {
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
    scopes[block] = blockScope;
    customerSlots[block] = customerSlot;
    addToBucket(block);
    return block;
  }

  void remove(int block) {
    int bucket = (int) low[block] & (buckets.length - 1);
    if (buckets[bucket] == block) {
      buckets[bucket] = nextInBucket[block];
    } else {
      int before = buckets[bucket];
      while (nextInBucket[before] != block) {
        before = nextInBucket[before];
      }
      nextInBucket[before] = nextInBucket[block];
    }
    scopes[block] = null;
    nextInBucket[block] = firstFree;
    firstFree = block;
  }

  CacheScope scope(int block) {
    return scopes[block];
  }

  int customerSlot(int block) {
    return customerSlots[block];
  }

  void setOwner(int block, CacheScope blockScope, int customerSlot) {
    scopes[block] = blockScope;
    customerSlots[block] = customerSlot;
  }

  long low(int block) {
    return low[block];
  }

  long high(int block) {
    return high[block];
  }

  private void addToBucket(int block) {
    int bucket = (int) low[block] & (buckets.length - 1);
    nextInBucket[block] = buckets[bucket];
    buckets[bucket] = block;
  }

  /** Only called while every block is in use, so that all of them are linked again. */
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

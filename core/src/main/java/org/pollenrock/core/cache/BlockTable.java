package org.pollenrock.core.cache;

import java.util.Arrays;
import org.pollenrock.core.prefix.CacheScope;

/** Blocks that at least one entry refers to: key, scope and customer in primitive arrays. */
final class BlockTable {
  static final int NONE = IndexLists.NONE;

  private static final int INITIAL_BLOCKS = 256;

  private long[] high = new long[INITIAL_BLOCKS];
  private long[] low = new long[INITIAL_BLOCKS];
  private CacheScope[] scope = new CacheScope[INITIAL_BLOCKS];
  private int[] customer = new int[INITIAL_BLOCKS];
  private int[] nextInBucket = new int[INITIAL_BLOCKS];
  private int[] buckets = emptyBuckets(INITIAL_BLOCKS);
  private int used;
  private int free = NONE;

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
    if (free == NONE && used == high.length) {
      grow();
    }
    int block = free;
    if (block == NONE) {
      block = used++;
    } else {
      free = nextInBucket[block];
    }
    high[block] = keyHigh;
    low[block] = keyLow;
    scope[block] = blockScope;
    customer[block] = customerSlot;
    link(block);
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
    scope[block] = null;
    nextInBucket[block] = free;
    free = block;
  }

  CacheScope scope(int block) {
    return scope[block];
  }

  int customer(int block) {
    return customer[block];
  }

  void assign(int block, CacheScope blockScope, int customerSlot) {
    scope[block] = blockScope;
    customer[block] = customerSlot;
  }

  long low(int block) {
    return low[block];
  }

  long high(int block) {
    return high[block];
  }

  private void link(int block) {
    int bucket = (int) low[block] & (buckets.length - 1);
    nextInBucket[block] = buckets[bucket];
    buckets[bucket] = block;
  }

  /** Only called while every block is in use, so that all of them are linked again. */
  private void grow() {
    int length = 2 * high.length;
    high = Arrays.copyOf(high, length);
    low = Arrays.copyOf(low, length);
    scope = Arrays.copyOf(scope, length);
    customer = Arrays.copyOf(customer, length);
    nextInBucket = Arrays.copyOf(nextInBucket, length);
    buckets = emptyBuckets(length);
    for (int block = 0; block < used; block++) {
      link(block);
    }
  }
}

package org.pollenrock.core.cache;

import java.util.Arrays;

/**
 * Entries of the index, one per pair of block and server, in primitive arrays.
 *
 * <p>An entry is in three lists: the holders of its block (most recently used first), the entries
 * of its server, and the entries of its customer (most recently used first).
 */
final class EntryTable {
  static final int NONE = IndexLists.NONE;

  private static final int INITIAL_ENTRIES = 256;

  private int[] block = new int[INITIAL_ENTRIES];
  private int[] server = new int[INITIAL_ENTRIES];
  private long[] usedNanos = new long[INITIAL_ENTRIES];
  private byte[] source = new byte[INITIAL_ENTRIES];
  private int[] epoch = new int[INITIAL_ENTRIES];
  private int[] nextInBucket = new int[INITIAL_ENTRIES];
  private int[] buckets = new int[INITIAL_ENTRIES];
  private final IndexLists holders = new IndexLists(INITIAL_ENTRIES, INITIAL_ENTRIES);
  private final IndexLists ofServer = new IndexLists(16, INITIAL_ENTRIES);
  private final IndexLists ofCustomer = new IndexLists(16, INITIAL_ENTRIES);
  private int allocated;
  private int free = NONE;
  private int size;

  EntryTable() {
    Arrays.fill(buckets, NONE);
  }

  int find(int blockSlot, int serverSlot) {
    int entry = buckets[bucket(blockSlot, serverSlot)];
    while (entry != NONE && (block[entry] != blockSlot || server[entry] != serverSlot)) {
      entry = nextInBucket[entry];
    }
    return entry;
  }

  int add(int blockSlot, int serverSlot, int customerSlot) {
    if (free == NONE && allocated == block.length) {
      grow();
    }
    int entry = free;
    if (entry == NONE) {
      entry = allocated++;
    } else {
      free = nextInBucket[entry];
    }
    block[entry] = blockSlot;
    server[entry] = serverSlot;
    link(entry);
    holders.growLists(blockSlot + 1);
    ofServer.growLists(serverSlot + 1);
    ofCustomer.growLists(customerSlot + 1);
    holders.addFirst(blockSlot, entry);
    ofServer.addFirst(serverSlot, entry);
    ofCustomer.addFirst(customerSlot, entry);
    size++;
    return entry;
  }

  void remove(int entry, int customerSlot) {
    unlink(entry);
    holders.remove(block[entry], entry);
    ofServer.remove(server[entry], entry);
    ofCustomer.remove(customerSlot, entry);
    block[entry] = NONE;
    nextInBucket[entry] = free;
    free = entry;
    size--;
  }

  void update(int entry, int customerSlot, BeliefSource belief, int gapEpoch, long nowNanos) {
    source[entry] = (byte) belief.ordinal();
    epoch[entry] = gapEpoch;
    usedNanos[entry] = nowNanos;
    holders.moveFirst(block[entry], entry);
    ofCustomer.moveFirst(customerSlot, entry);
  }

  void moveCustomer(int entry, int from, int to) {
    ofCustomer.remove(from, entry);
    ofCustomer.growLists(to + 1);
    ofCustomer.addFirst(to, entry);
  }

  int size() {
    return size;
  }

  /** Entries in use have a number below this one. */
  int allocated() {
    return allocated;
  }

  boolean inUse(int entry) {
    return block[entry] != NONE;
  }

  int block(int entry) {
    return block[entry];
  }

  int server(int entry) {
    return server[entry];
  }

  long usedNanos(int entry) {
    return usedNanos[entry];
  }

  int epoch(int entry) {
    return epoch[entry];
  }

  boolean is(int entry, BeliefSource belief) {
    return source[entry] == belief.ordinal();
  }

  int firstHolder(int blockSlot) {
    return holders.head(blockSlot);
  }

  int nextHolder(int entry) {
    return holders.next(entry);
  }

  int firstOfServer(int serverSlot) {
    ofServer.growLists(serverSlot + 1);
    return ofServer.head(serverSlot);
  }

  int nextOfServer(int entry) {
    return ofServer.next(entry);
  }

  int oldestOfCustomer(int customerSlot) {
    ofCustomer.growLists(customerSlot + 1);
    return ofCustomer.tail(customerSlot);
  }

  int newerOfCustomer(int entry) {
    return ofCustomer.previous(entry);
  }

  private int bucket(int blockSlot, int serverSlot) {
    int hash = blockSlot * 0x9E3779B9 + serverSlot * 0x85EBCA6B;
    return (hash ^ (hash >>> 15)) & (buckets.length - 1);
  }

  private void link(int entry) {
    int bucket = bucket(block[entry], server[entry]);
    nextInBucket[entry] = buckets[bucket];
    buckets[bucket] = entry;
  }

  private void unlink(int entry) {
    int bucket = bucket(block[entry], server[entry]);
    if (buckets[bucket] == entry) {
      buckets[bucket] = nextInBucket[entry];
      return;
    }
    int before = buckets[bucket];
    while (nextInBucket[before] != entry) {
      before = nextInBucket[before];
    }
    nextInBucket[before] = nextInBucket[entry];
  }

  /** Only called while every entry is in use, so that all of them are linked again. */
  private void grow() {
    int length = 2 * block.length;
    block = Arrays.copyOf(block, length);
    server = Arrays.copyOf(server, length);
    usedNanos = Arrays.copyOf(usedNanos, length);
    source = Arrays.copyOf(source, length);
    epoch = Arrays.copyOf(epoch, length);
    nextInBucket = Arrays.copyOf(nextInBucket, length);
    holders.growItems(length);
    ofServer.growItems(length);
    ofCustomer.growItems(length);
    buckets = new int[length];
    Arrays.fill(buckets, NONE);
    for (int entry = 0; entry < allocated; entry++) {
      link(entry);
    }
  }
}

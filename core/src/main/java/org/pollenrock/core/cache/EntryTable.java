package org.pollenrock.core.cache;

import java.util.Arrays;

/**
 * Entries of the index, one per pair of block and server, in primitive arrays.
 *
 * <p>An entry is in three lists: the holders of its block (most recently used first), the entries
 * of its server, and the entries of its customer (most recently used first).
 */
final class EntryTable {
  static final int NONE = IntLinkedLists.NONE;

  private static final int INITIAL_ENTRIES = 256;

  private int[] blockSlots = new int[INITIAL_ENTRIES];
  private int[] serverSlots = new int[INITIAL_ENTRIES];
  private long[] usedNanos = new long[INITIAL_ENTRIES];
  private byte[] sources = new byte[INITIAL_ENTRIES];
  private int[] gapEpochs = new int[INITIAL_ENTRIES];
  private int[] nextInBucket = new int[INITIAL_ENTRIES];
  private int[] buckets = new int[INITIAL_ENTRIES];
  private final IntLinkedLists entriesByBlock =
      new IntLinkedLists(INITIAL_ENTRIES, INITIAL_ENTRIES);
  private final IntLinkedLists entriesByServer = new IntLinkedLists(16, INITIAL_ENTRIES);
  private final IntLinkedLists entriesByCustomer = new IntLinkedLists(16, INITIAL_ENTRIES);
  private int allocatedCount;
  private int firstFree = NONE;
  private int size;

  EntryTable() {
    Arrays.fill(buckets, NONE);
  }

  int find(int blockSlot, int serverSlot) {
    int entry = buckets[bucket(blockSlot, serverSlot)];
    while (entry != NONE && (blockSlots[entry] != blockSlot || serverSlots[entry] != serverSlot)) {
      entry = nextInBucket[entry];
    }
    return entry;
  }

  int add(int blockSlot, int serverSlot, int customerSlot) {
    if (firstFree == NONE && allocatedCount == blockSlots.length) {
      grow();
    }
    int entry = firstFree;
    if (entry == NONE) {
      entry = allocatedCount++;
    } else {
      firstFree = nextInBucket[entry];
    }
    blockSlots[entry] = blockSlot;
    serverSlots[entry] = serverSlot;
    addToBucket(entry);
    entriesByBlock.ensureListCapacity(blockSlot + 1);
    entriesByServer.ensureListCapacity(serverSlot + 1);
    entriesByCustomer.ensureListCapacity(customerSlot + 1);
    entriesByBlock.addFirst(blockSlot, entry);
    entriesByServer.addFirst(serverSlot, entry);
    entriesByCustomer.addFirst(customerSlot, entry);
    size++;
    return entry;
  }

  void remove(int entry, int customerSlot) {
    removeFromBucket(entry);
    entriesByBlock.remove(blockSlots[entry], entry);
    entriesByServer.remove(serverSlots[entry], entry);
    entriesByCustomer.remove(customerSlot, entry);
    blockSlots[entry] = NONE;
    nextInBucket[entry] = firstFree;
    firstFree = entry;
    size--;
  }

  void update(int entry, int customerSlot, EntrySource belief, int gapEpoch, long nowNanos) {
    sources[entry] = (byte) belief.ordinal();
    gapEpochs[entry] = gapEpoch;
    usedNanos[entry] = nowNanos;
    entriesByBlock.moveToFront(blockSlots[entry], entry);
    entriesByCustomer.moveToFront(customerSlot, entry);
  }

  void moveCustomer(int entry, int from, int to) {
    entriesByCustomer.remove(from, entry);
    entriesByCustomer.ensureListCapacity(to + 1);
    entriesByCustomer.addFirst(to, entry);
  }

  int size() {
    return size;
  }

  /** Entries in use have a number below this one. */
  int allocatedCount() {
    return allocatedCount;
  }

  boolean isInUse(int entry) {
    return blockSlots[entry] != NONE;
  }

  int blockSlot(int entry) {
    return blockSlots[entry];
  }

  int serverSlot(int entry) {
    return serverSlots[entry];
  }

  long usedNanos(int entry) {
    return usedNanos[entry];
  }

  int gapEpoch(int entry) {
    return gapEpochs[entry];
  }

  boolean hasSource(int entry, EntrySource belief) {
    return sources[entry] == belief.ordinal();
  }

  int firstEntryOfBlock(int blockSlot) {
    return entriesByBlock.head(blockSlot);
  }

  int nextEntryOfBlock(int entry) {
    return entriesByBlock.next(entry);
  }

  int firstEntryOfServer(int serverSlot) {
    entriesByServer.ensureListCapacity(serverSlot + 1);
    return entriesByServer.head(serverSlot);
  }

  int nextEntryOfServer(int entry) {
    return entriesByServer.next(entry);
  }

  int oldestEntryOfCustomer(int customerSlot) {
    entriesByCustomer.ensureListCapacity(customerSlot + 1);
    return entriesByCustomer.tail(customerSlot);
  }

  int newerEntryOfCustomer(int entry) {
    return entriesByCustomer.previous(entry);
  }

  private int bucket(int blockSlot, int serverSlot) {
    int hash = blockSlot * 0x9E3779B9 + serverSlot * 0x85EBCA6B;
    return (hash ^ (hash >>> 15)) & (buckets.length - 1);
  }

  private void addToBucket(int entry) {
    int bucket = bucket(blockSlots[entry], serverSlots[entry]);
    nextInBucket[entry] = buckets[bucket];
    buckets[bucket] = entry;
  }

  private void removeFromBucket(int entry) {
    int bucket = bucket(blockSlots[entry], serverSlots[entry]);
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
    int length = 2 * blockSlots.length;
    blockSlots = Arrays.copyOf(blockSlots, length);
    serverSlots = Arrays.copyOf(serverSlots, length);
    usedNanos = Arrays.copyOf(usedNanos, length);
    sources = Arrays.copyOf(sources, length);
    gapEpochs = Arrays.copyOf(gapEpochs, length);
    nextInBucket = Arrays.copyOf(nextInBucket, length);
    entriesByBlock.setItemCapacity(length);
    entriesByServer.setItemCapacity(length);
    entriesByCustomer.setItemCapacity(length);
    buckets = new int[length];
    Arrays.fill(buckets, NONE);
    for (int entry = 0; entry < allocatedCount; entry++) {
      addToBucket(entry);
    }
  }
}

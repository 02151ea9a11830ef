package org.pollenrock.core.cache;

import java.util.Arrays;

/**
 * Hash table of the entries of the index, one for each pair of block and server.
 *
 * <p>An entry is identified by its number, and its fields are stored in parallel primitive arrays.
 * Each entry is in three lists: the entries of its block (most recently used first), the entries of
 * its server, and the entries of its customer (most recently used first).
 */
final class EntryTable {
  static final int NONE = IntLinkedLists.NONE;

  private static final int INITIAL_ENTRIES = 256;

  /** Block of each entry; {@link #NONE} for an entry that was removed. */
  private int[] blockSlots = new int[INITIAL_ENTRIES];

  private int[] serverSlots = new int[INITIAL_ENTRIES];

  /** Time at which a request, a cache event or a digest last updated the entry. */
  private long[] usedNanos = new long[INITIAL_ENTRIES];

  /** Ordinal of the {@link EntrySource} of each entry. */
  private byte[] sources = new byte[INITIAL_ENTRIES];

  /** Value of {@link ServerCacheState#gapEpoch} when the entry was last updated. */
  private int[] gapEpochs = new int[INITIAL_ENTRIES];

  private int[] nextInBucket = new int[INITIAL_ENTRIES];
  private int[] buckets = new int[INITIAL_ENTRIES];
  private final IntLinkedLists entriesByBlock =
      new IntLinkedLists(INITIAL_ENTRIES, INITIAL_ENTRIES);
  private final IntLinkedLists entriesByServer = new IntLinkedLists(16, INITIAL_ENTRIES);
  private final IntLinkedLists entriesByCustomer = new IntLinkedLists(16, INITIAL_ENTRIES);

  /** Number of entries that have ever been allocated, including removed ones. */
  private int allocatedCount;

  /** First of the removed entries, which are linked through {@code nextInBucket}. */
  private int firstFree = NONE;

  private int size;

  EntryTable() {
    Arrays.fill(buckets, NONE);
  }

  /** Returns the entry of a block on a server, or {@link #NONE}. */
  int find(int blockSlot, int serverSlot) {
    int entry = buckets[bucket(blockSlot, serverSlot)];
    while (entry != NONE && (blockSlots[entry] != blockSlot || serverSlots[entry] != serverSlot)) {
      entry = nextInBucket[entry];
    }
    return entry;
  }

  /**
   * Adds an entry that the table does not contain and returns its number. The caller sets the other
   * fields with {@link #update}.
   */
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

  /** Removes an entry, which is in the list of the given customer. */
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

  /**
   * Sets the source, the gap epoch and the time of an entry and moves the entry to the front of the
   * lists of its block and its customer.
   */
  void update(int entry, int customerSlot, EntrySource source, int gapEpoch, long nowNanos) {
    sources[entry] = (byte) source.ordinal();
    gapEpochs[entry] = gapEpoch;
    usedNanos[entry] = nowNanos;
    entriesByBlock.moveToFront(blockSlots[entry], entry);
    entriesByCustomer.moveToFront(customerSlot, entry);
  }

  /** Moves an entry to the front of another customer's list. */
  void moveCustomer(int entry, int fromSlot, int toSlot) {
    entriesByCustomer.remove(fromSlot, entry);
    entriesByCustomer.ensureListCapacity(toSlot + 1);
    entriesByCustomer.addFirst(toSlot, entry);
  }

  /** Returns the number of entries in use. */
  int size() {
    return size;
  }

  /** Returns a bound of the entry numbers: every entry in use has a number below it. */
  int allocatedCount() {
    return allocatedCount;
  }

  /** Tests whether an entry number below {@link #allocatedCount()} is in use. */
  boolean isInUse(int entry) {
    return blockSlots[entry] != NONE;
  }

  int blockSlot(int entry) {
    return blockSlots[entry];
  }

  int serverSlot(int entry) {
    return serverSlots[entry];
  }

  /** Returns the time of the last update of an entry, in monotonic nanoseconds. */
  long usedNanos(int entry) {
    return usedNanos[entry];
  }

  /** Returns the gap epoch of the server when the entry was last updated. */
  int gapEpoch(int entry) {
    return gapEpochs[entry];
  }

  /** Tests whether an entry was last updated from a source. */
  boolean hasSource(int entry, EntrySource source) {
    return sources[entry] == source.ordinal();
  }

  /** Returns the most recently used entry of a block in use. */
  int firstEntryOfBlock(int blockSlot) {
    return entriesByBlock.head(blockSlot);
  }

  /** Returns the next less recently used entry of the same block, or {@link #NONE}. */
  int nextEntryOfBlock(int entry) {
    return entriesByBlock.next(entry);
  }

  /** Returns the first entry of a server, or {@link #NONE}. */
  int firstEntryOfServer(int serverSlot) {
    entriesByServer.ensureListCapacity(serverSlot + 1);
    return entriesByServer.head(serverSlot);
  }

  /** Returns the next entry of the same server, or {@link #NONE}. */
  int nextEntryOfServer(int entry) {
    return entriesByServer.next(entry);
  }

  /** Returns the least recently used entry of a customer, or {@link #NONE}. */
  int oldestEntryOfCustomer(int customerSlot) {
    entriesByCustomer.ensureListCapacity(customerSlot + 1);
    return entriesByCustomer.tail(customerSlot);
  }

  /** Returns the next more recently used entry of the same customer, or {@link #NONE}. */
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
    int previous = buckets[bucket];
    while (nextInBucket[previous] != entry) {
      previous = nextInBucket[previous];
    }
    nextInBucket[previous] = nextInBucket[entry];
  }

  /**
   * Doubles the size of the table. Called only while every entry is in use, so that all entries are
   * added to the new buckets.
   */
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

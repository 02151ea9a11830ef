package org.pollenrock.core.cache;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixChain;

/**
 * Bounded storage of the cache index.
 *
 * <p>Inserts and removes entries, removes expired entries, selects the entry to evict when the
 * capacity is reached, and computes the effective age and the confidence of entries.
 */
final class IndexStore {
  private static final int NONE = IntLinkedLists.NONE;

  /**
   * Number of halvings that lowers the confidence of an entry of a request in flight to 0.95. The
   * confidence is this high because an engine prefills the blocks in order and few requests fail
   * before their first token.
   */
  private static final double PENDING_HALVINGS = Math.log(1 / 0.95) / Math.log(2);

  /**
   * Number of customers whose oldest entries are compared for one eviction. Bounds the cost of an
   * eviction when the index holds 10,000 customers.
   */
  private static final int CUSTOMERS_COMPARED_PER_EVICTION = 16;

  /** Number of least recently used entries of a customer that are compared for one eviction. */
  private static final int ENTRIES_COMPARED_PER_CUSTOMER = 3;

  /** Number of entry slots that are checked for expiry before each insertion. */
  private static final int EXPIRY_CHECKS_PER_INSERT = 2;

  private final int capacity;
  private final BlockTable blocks = new BlockTable();
  private final EntryTable entries = new EntryTable();
  private final CustomerTable customers;

  /** State of each server by its slot; null for a free slot. */
  private final List<ServerCacheState> serversBySlot = new ArrayList<>();

  private final List<Integer> freeServerSlots = new ArrayList<>();

  /** Entry slot that was last checked for expiry. */
  private int expiryCursor;

  /** Customer slot that was last considered for an eviction. */
  private int evictionCursor;

  private long version;

  IndexStore(int capacity, int customerFloor) {
    this.capacity = capacity;
    customers = new CustomerTable(capacity, customerFloor);
  }

  BlockTable blocks() {
    return blocks;
  }

  EntryTable entries() {
    return entries;
  }

  CustomerTable customers() {
    return customers;
  }

  /** Returns the version of the index, which increases with every insertion, update and removal. */
  long version() {
    return version;
  }

  /** Returns the state of the server with a slot that is in use. */
  ServerCacheState server(int slot) {
    return serversBySlot.get(slot);
  }

  /** Adds a server without entries and assigns a slot to it. */
  ServerCacheState addServer(BackendServerId id, Incarnation incarnation) {
    if (freeServerSlots.isEmpty()) {
      ServerCacheState added = new ServerCacheState(id, serversBySlot.size(), incarnation);
      serversBySlot.add(added);
      return added;
    }
    int slot = freeServerSlots.remove(freeServerSlots.size() - 1);
    ServerCacheState added = new ServerCacheState(id, slot, incarnation);
    serversBySlot.set(slot, added);
    return added;
  }

  /** Removes a server with all its entries and frees its slot. */
  void removeServer(ServerCacheState state) {
    removeEntries(state);
    serversBySlot.set(state.slot(), null);
    freeServerSlots.add(state.slot());
  }

  /** Removes all entries of a server, but keeps its slot. */
  void removeEntries(ServerCacheState state) {
    for (int entry : entriesOf(state)) {
      remove(entry);
    }
  }

  /** Returns a copy of the entries of a server, so that the caller can remove entries in a loop. */
  int[] entriesOf(ServerCacheState state) {
    int[] found = new int[state.entryCount()];
    int entry = entries.firstEntryOfServer(state.slot());
    for (int position = 0; position < found.length; position++) {
      found[position] = entry;
      entry = entries.nextEntryOfServer(entry);
    }
    return found;
  }

  /** Returns the entry of a block on a server, or {@link IntLinkedLists#NONE}. */
  int findEntry(ServerCacheState state, long keyHigh, long keyLow) {
    int blockSlot = blocks.find(keyHigh, keyLow);
    return blockSlot == NONE ? NONE : entries.find(blockSlot, state.slot());
  }

  /**
   * Adds or updates the entry of one block of a request's chain on a server. At the capacity,
   * another entry is evicted. The block is assigned to the customer of the chain if it has none.
   */
  void put(
      ServerCacheState state, PrefixChain chain, int position, EntrySource source, long nowNanos) {
    long keyHigh = chain.high(position);
    long keyLow = chain.low(position);
    CacheScope scope = chain.scope();
    version++;
    int blockSlot = blocks.find(keyHigh, keyLow);
    if (blockSlot != NONE && blocks.scope(blockSlot) == null) {
      assignToCustomer(blockSlot, scope);
    }
    int entry = blockSlot == NONE ? NONE : entries.find(blockSlot, state.slot());
    if (entry == NONE) {
      removeExpiredEntries(nowNanos);
      if (entries.size() >= capacity) {
        remove(selectVictim(scope, nowNanos));
      }
      blockSlot = blocks.find(keyHigh, keyLow);
      if (blockSlot == NONE) {
        blockSlot = blocks.add(keyHigh, keyLow, scope, customers.findOrAddSlot(scope.customer()));
      }
      entry = insert(blockSlot, state);
    }
    entries.update(entry, blocks.customerSlot(blockSlot), source, state.gapEpoch(), nowNanos);
  }

  /**
   * Adds or updates the entry of a block that a cache event or a digest reported.
   *
   * <p>A block that no request of this router has used never evicts an entry of a customer: the
   * index is meant for the prefixes that this router routes, not for every block of every server.
   * At the capacity, the report is ignored when no entry may be evicted or when the selected entry
   * belongs to the same block.
   */
  void put(ServerCacheState state, BlockKey key, EntrySource source, long nowNanos) {
    version++;
    int blockSlot = blocks.find(key.high(), key.low());
    int entry = blockSlot == NONE ? NONE : entries.find(blockSlot, state.slot());
    if (entry == NONE) {
      removeExpiredEntries(nowNanos);
      blockSlot = blocks.find(key.high(), key.low());
      boolean requested = blockSlot != NONE && blocks.scope(blockSlot) != null;
      if (entries.size() >= capacity) {
        int oldest = entries.oldestEntryOfCustomer(CustomerTable.UNATTRIBUTED);
        int evicted = requested ? selectVictim(blocks.scope(blockSlot), nowNanos) : oldest;
        if (evicted == NONE || requested && entries.blockSlot(evicted) == blockSlot) {
          return;
        }
        remove(evicted);
        blockSlot = blocks.find(key.high(), key.low());
      }
      if (blockSlot == NONE) {
        blockSlot = blocks.add(key.high(), key.low(), null, CustomerTable.UNATTRIBUTED);
      }
      entry = insert(blockSlot, state);
    }
    entries.update(entry, blocks.customerSlot(blockSlot), source, state.gapEpoch(), nowNanos);
  }

  /** Adds an entry and counts it for the customer and the server. */
  private int insert(int blockSlot, ServerCacheState state) {
    int customerSlot = blocks.customerSlot(blockSlot);
    customers.addToEntryCount(customerSlot, 1);
    state.addToEntryCount(1);
    return entries.add(blockSlot, state.slot(), customerSlot);
  }

  /** Removes an entry, and its block when this was the last entry of the block. */
  void remove(int entry) {
    version++;
    int blockSlot = entries.blockSlot(entry);
    int customerSlot = blocks.customerSlot(blockSlot);
    server(entries.serverSlot(entry)).addToEntryCount(-1);
    entries.remove(entry, customerSlot);
    customers.addToEntryCount(customerSlot, -1);
    if (entries.firstEntryOfBlock(blockSlot) == NONE) {
      blocks.remove(blockSlot);
    }
  }

  /**
   * Assigns a block that was known only from cache events to the customer whose request uses it, so
   * that its entries count for that customer.
   */
  private void assignToCustomer(int blockSlot, CacheScope scope) {
    int customerSlot = customers.findOrAddSlot(scope.customer());
    int entry = entries.firstEntryOfBlock(blockSlot);
    while (entry != NONE) {
      entries.moveCustomer(entry, CustomerTable.UNATTRIBUTED, customerSlot);
      customers.addToEntryCount(CustomerTable.UNATTRIBUTED, -1);
      customers.addToEntryCount(customerSlot, 1);
      entry = entries.nextEntryOfBlock(entry);
    }
    blocks.setOwner(blockSlot, scope, customerSlot);
  }

  /**
   * Returns the effective age of an entry in nanoseconds. Each reason that lowers the confidence
   * adds to the age.
   *
   * <p>While all cache events of a server are applied without a gap, a block without an eviction
   * event is still cached. The age of such an entry therefore starts at the last time when all
   * events had been applied.
   */
  double effectiveAgeNanos(ServerCacheState state, int entry, long nowNanos) {
    long confirmedNanos = lastConfirmedNanos(state, entry);
    double halvings = 0;
    if (entries.hasSource(entry, EntrySource.CACHE_EVENT)) {
      halvings += state.gapEpoch() - entries.gapEpoch(entry);
    } else if (entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
      halvings += PENDING_HALVINGS;
    }
    if (entries.usedNanos(entry) <= state.latestMissedUseNanos()) {
      halvings += 1;
    }
    return Math.max(0, nowNanos - confirmedNanos)
        + state.evictionEstimator().halvingAgeNanos(halvings);
  }

  /** Returns the last time at which the block of an entry was confirmed to be cached. */
  private long lastConfirmedNanos(ServerCacheState state, int entry) {
    long usedNanos = entries.usedNanos(entry);
    boolean confirmedByEvents =
        entries.gapEpoch(entry) == state.gapEpoch()
            && usedNanos > state.latestMissedUseNanos()
            && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)
            && !entries.hasSource(entry, EntrySource.EVICTION_EVENT);
    return confirmedByEvents ? Math.max(usedNanos, state.eventsCaughtUpNanos()) : usedNanos;
  }

  /** Returns the probability, 0 to 1, that the server of an entry still holds the block. */
  double confidence(int entry, long nowNanos) {
    ServerCacheState state = server(entries.serverSlot(entry));
    return state.evictionEstimator().confidence(effectiveAgeNanos(state, entry, nowNanos));
  }

  /**
   * Checks the next few entry slots and removes entries whose confidence is 0. Successive calls go
   * round the whole table.
   */
  private void removeExpiredEntries(long nowNanos) {
    for (int check = 0; check < EXPIRY_CHECKS_PER_INSERT && entries.allocatedCount() > 0; check++) {
      expiryCursor = (expiryCursor + 1) % entries.allocatedCount();
      if (entries.isInUse(expiryCursor) && confidence(expiryCursor, nowNanos) == 0) {
        remove(expiryCursor);
      }
    }
  }

  /**
   * Selects the entry to evict. Compares the least recently used entries of the next customers that
   * are above their floor, in a round robin over all customers, and selects the entry with the
   * lowest confidence, then the least recently used one. When no customer is above its floor,
   * selects the least recently used entry of the customer that adds an entry, or of the customer
   * with the most entries when the adding customer has none.
   */
  private int selectVictim(CacheScope newScope, long nowNanos) {
    int best = NONE;
    int compared = 0;
    for (int step = 0;
        step < customers.slotCount() && compared < CUSTOMERS_COMPARED_PER_EVICTION;
        step++) {
      evictionCursor = (evictionCursor + 1) % customers.slotCount();
      if (customers.isAboveFloor(evictionCursor)) {
        compared++;
        best = selectLeastConfident(best, evictionCursor, nowNanos);
      }
    }
    if (best != NONE) {
      return best;
    }
    int ownSlot = customers.findSlot(newScope.customer());
    return entries.oldestEntryOfCustomer(
        ownSlot == NONE ? customers.slotWithMostEntries() : ownSlot);
  }

  /** Returns the weakest of {@code current} and the oldest entries of a customer. */
  private int selectLeastConfident(int current, int customerSlot, long nowNanos) {
    int best = current;
    int entry = entries.oldestEntryOfCustomer(customerSlot);
    for (int step = 0; step < ENTRIES_COMPARED_PER_CUSTOMER && entry != NONE; step++) {
      if (best == NONE || isWeaker(entry, best, nowNanos)) {
        best = entry;
      }
      entry = entries.newerEntryOfCustomer(entry);
    }
    return best;
  }

  /** Tests whether the left entry has a lower confidence or, if equal, an earlier last use. */
  private boolean isWeaker(int left, int right, long nowNanos) {
    int order = Double.compare(confidence(left, nowNanos), confidence(right, nowNanos));
    return order != 0 ? order < 0 : entries.usedNanos(left) < entries.usedNanos(right);
  }
}

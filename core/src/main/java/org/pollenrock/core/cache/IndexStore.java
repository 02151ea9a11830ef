package org.pollenrock.core.cache;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixChain;

/** Bounded storage of the cache index: insertion, expiry, eviction and age of entries. */
final class IndexStore {
  private static final int NONE = IntLinkedLists.NONE;

  /**
   * Halvings of a belief that rests on a request in flight, so that its confidence is 0.95: an
   * engine prefills in order, and few requests fail before their first token.
   */
  private static final double PENDING_HALVINGS = Math.log(1 / 0.95) / Math.log(2);

  /** Customers whose oldest entries are compared per eviction; bounds its cost at 10,000. */
  private static final int CUSTOMERS_PER_EVICTION = 16;

  private static final int OLDEST_PER_CUSTOMER = 3;
  private static final int EXPIRY_CHECKS_PER_INSERT = 2;

  private final int capacity;
  private final BlockTable blocks = new BlockTable();
  private final EntryTable entries = new EntryTable();
  private final CustomerTable customers;
  private final List<ServerCacheState> serversBySlot = new ArrayList<>();
  private final List<Integer> freeServerSlots = new ArrayList<>();
  private int expiryCursor;
  private int customerCursor;
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

  /** Changes with every insertion and removal. */
  long version() {
    return version;
  }

  ServerCacheState server(int slot) {
    return serversBySlot.get(slot);
  }

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

  void removeServer(ServerCacheState knowledge) {
    removeEntries(knowledge);
    serversBySlot.set(knowledge.slot(), null);
    freeServerSlots.add(knowledge.slot());
  }

  void removeEntries(ServerCacheState knowledge) {
    for (int entry : entriesOf(knowledge)) {
      remove(entry);
    }
  }

  /** A copy, so that the caller may remove entries while it walks over them. */
  int[] entriesOf(ServerCacheState knowledge) {
    int[] found = new int[knowledge.entryCount()];
    int entry = entries.firstEntryOfServer(knowledge.slot());
    for (int at = 0; at < found.length; at++) {
      found[at] = entry;
      entry = entries.nextEntryOfServer(entry);
    }
    return found;
  }

  int findEntry(ServerCacheState knowledge, long high, long low) {
    int block = blocks.find(high, low);
    return block == NONE ? NONE : entries.find(block, knowledge.slot());
  }

  void put(
      ServerCacheState knowledge,
      PrefixChain chain,
      int position,
      EntrySource source,
      long nowNanos) {
    long high = chain.high(position);
    long low = chain.low(position);
    CacheScope scope = chain.scope();
    version++;
    int block = blocks.find(high, low);
    if (block != NONE && blocks.scope(block) == null) {
      assignToCustomer(block, scope);
    }
    int entry = block == NONE ? NONE : entries.find(block, knowledge.slot());
    if (entry == NONE) {
      removeExpiredEntries(nowNanos);
      if (entries.size() >= capacity) {
        remove(selectVictim(scope, nowNanos));
      }
      block = blocks.find(high, low);
      if (block == NONE) {
        block = blocks.add(high, low, scope, customers.findOrAddSlot(scope.customer()));
      }
      entry = insert(block, knowledge);
    }
    entries.update(entry, blocks.customerSlot(block), source, knowledge.gapEpoch(), nowNanos);
  }

  /**
   * Records what an event says. A block that no request has asked for never evicts an entry of a
   * customer: a router keeps what it routes, not every block of every server.
   */
  void put(ServerCacheState knowledge, BlockKey key, EntrySource source, long nowNanos) {
    version++;
    int block = blocks.find(key.high(), key.low());
    int entry = block == NONE ? NONE : entries.find(block, knowledge.slot());
    if (entry == NONE) {
      removeExpiredEntries(nowNanos);
      block = blocks.find(key.high(), key.low());
      boolean known = block != NONE && blocks.scope(block) != null;
      if (entries.size() >= capacity) {
        int oldest = entries.oldestEntryOfCustomer(CustomerTable.UNATTRIBUTED);
        int victim = known ? selectVictim(blocks.scope(block), nowNanos) : oldest;
        if (victim == NONE || known && entries.blockSlot(victim) == block) {
          return;
        }
        remove(victim);
        block = blocks.find(key.high(), key.low());
      }
      if (block == NONE) {
        block = blocks.add(key.high(), key.low(), null, CustomerTable.UNATTRIBUTED);
      }
      entry = insert(block, knowledge);
    }
    entries.update(entry, blocks.customerSlot(block), source, knowledge.gapEpoch(), nowNanos);
  }

  private int insert(int block, ServerCacheState knowledge) {
    int customer = blocks.customerSlot(block);
    customers.addToEntryCount(customer, 1);
    knowledge.addToEntryCount(1);
    return entries.add(block, knowledge.slot(), customer);
  }

  void remove(int entry) {
    version++;
    int block = entries.blockSlot(entry);
    int customer = blocks.customerSlot(block);
    server(entries.serverSlot(entry)).addToEntryCount(-1);
    entries.remove(entry, customer);
    customers.addToEntryCount(customer, -1);
    if (entries.firstEntryOfBlock(block) == NONE) {
      blocks.remove(block);
    }
  }

  /** Charges a block that was known from events only to the customer that asked for it. */
  private void assignToCustomer(int block, CacheScope scope) {
    int customer = customers.findOrAddSlot(scope.customer());
    int entry = entries.firstEntryOfBlock(block);
    while (entry != NONE) {
      entries.moveCustomer(entry, CustomerTable.UNATTRIBUTED, customer);
      customers.addToEntryCount(CustomerTable.UNATTRIBUTED, -1);
      customers.addToEntryCount(customer, 1);
      entry = entries.nextEntryOfBlock(entry);
    }
    blocks.setOwner(block, scope, customer);
  }

  /**
   * Age of a belief in nanoseconds; every reason for doubt counts as additional age.
   *
   * <p>While the events of a server are followed without a gap, a block that it has not announced
   * as evicted is still there, so such a belief ages only from the last event page.
   */
  double effectiveAgeNanos(ServerCacheState knowledge, int entry, long nowNanos) {
    long used = lastConfirmedNanos(knowledge, entry);
    double halvings = 0;
    if (entries.hasSource(entry, EntrySource.CACHE_EVENT)) {
      halvings += knowledge.gapEpoch() - entries.gapEpoch(entry);
    } else if (entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
      halvings += PENDING_HALVINGS;
    }
    if (entries.usedNanos(entry) <= knowledge.latestMissedUseNanos()) {
      halvings += 1;
    }
    return Math.max(0, nowNanos - used) + knowledge.estimator().penaltyNanos(halvings);
  }

  private long lastConfirmedNanos(ServerCacheState knowledge, int entry) {
    long used = entries.usedNanos(entry);
    boolean followed =
        entries.gapEpoch(entry) == knowledge.gapEpoch()
            && used > knowledge.latestMissedUseNanos()
            && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)
            && !entries.hasSource(entry, EntrySource.EVICTION_EVENT);
    return followed ? Math.max(used, knowledge.eventsCaughtUpNanos()) : used;
  }

  double confidence(int entry, long nowNanos) {
    ServerCacheState knowledge = server(entries.serverSlot(entry));
    return knowledge.estimator().confidence(effectiveAgeNanos(knowledge, entry, nowNanos));
  }

  private void removeExpiredEntries(long nowNanos) {
    for (int check = 0; check < EXPIRY_CHECKS_PER_INSERT && entries.allocatedCount() > 0; check++) {
      expiryCursor = (expiryCursor + 1) % entries.allocatedCount();
      if (entries.isInUse(expiryCursor) && confidence(expiryCursor, nowNanos) == 0) {
        remove(expiryCursor);
      }
    }
  }

  /** Least confident, then oldest, of the customers that are above their floor. */
  private int selectVictim(CacheScope adding, long nowNanos) {
    int best = NONE;
    int compared = 0;
    for (int step = 0; step < customers.slotCount() && compared < CUSTOMERS_PER_EVICTION; step++) {
      customerCursor = (customerCursor + 1) % customers.slotCount();
      if (customers.isAboveFloor(customerCursor)) {
        compared++;
        best = selectLeastConfident(best, customerCursor, nowNanos);
      }
    }
    if (best != NONE) {
      return best;
    }
    int own = customers.findSlot(adding.customer());
    return entries.oldestEntryOfCustomer(own == NONE ? customers.slotWithMostEntries() : own);
  }

  private int selectLeastConfident(int known, int customer, long nowNanos) {
    int best = known;
    int entry = entries.oldestEntryOfCustomer(customer);
    for (int step = 0; step < OLDEST_PER_CUSTOMER && entry != NONE; step++) {
      if (best == NONE || isWeaker(entry, best, nowNanos)) {
        best = entry;
      }
      entry = entries.newerEntryOfCustomer(entry);
    }
    return best;
  }

  private boolean isWeaker(int left, int right, long nowNanos) {
    int order = Double.compare(confidence(left, nowNanos), confidence(right, nowNanos));
    return order != 0 ? order < 0 : entries.usedNanos(left) < entries.usedNanos(right);
  }
}

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
  private static final int NONE = IndexLists.NONE;

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
  private final List<ServerKnowledge> servers = new ArrayList<>();
  private final List<Integer> freeServers = new ArrayList<>();
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

  ServerKnowledge server(int slot) {
    return servers.get(slot);
  }

  ServerKnowledge addServer(BackendServerId id, Incarnation incarnation) {
    if (freeServers.isEmpty()) {
      ServerKnowledge added = new ServerKnowledge(id, servers.size(), incarnation);
      servers.add(added);
      return added;
    }
    int slot = freeServers.remove(freeServers.size() - 1);
    ServerKnowledge added = new ServerKnowledge(id, slot, incarnation);
    servers.set(slot, added);
    return added;
  }

  void removeServer(ServerKnowledge knowledge) {
    removeEntries(knowledge);
    servers.set(knowledge.slot(), null);
    freeServers.add(knowledge.slot());
  }

  void removeEntries(ServerKnowledge knowledge) {
    for (int entry : entriesOf(knowledge)) {
      remove(entry);
    }
  }

  /** A copy, so that the caller may remove entries while it walks over them. */
  int[] entriesOf(ServerKnowledge knowledge) {
    int[] found = new int[knowledge.entries()];
    int entry = entries.firstOfServer(knowledge.slot());
    for (int at = 0; at < found.length; at++) {
      found[at] = entry;
      entry = entries.nextOfServer(entry);
    }
    return found;
  }

  int find(ServerKnowledge knowledge, long high, long low) {
    int block = blocks.find(high, low);
    return block == NONE ? NONE : entries.find(block, knowledge.slot());
  }

  void put(
      ServerKnowledge knowledge,
      PrefixChain chain,
      int position,
      BeliefSource source,
      long nowNanos) {
    long high = chain.high(position);
    long low = chain.low(position);
    CacheScope scope = chain.scope();
    version++;
    int block = blocks.find(high, low);
    if (block != NONE && blocks.scope(block) == null) {
      attribute(block, scope);
    }
    int entry = block == NONE ? NONE : entries.find(block, knowledge.slot());
    if (entry == NONE) {
      expireSome(nowNanos);
      if (entries.size() >= capacity) {
        remove(victim(scope, nowNanos));
      }
      block = blocks.find(high, low);
      if (block == NONE) {
        block = blocks.add(high, low, scope, customers.slotOf(scope.customer()));
      }
      entry = insert(block, knowledge);
    }
    entries.update(entry, blocks.customer(block), source, knowledge.gapEpoch(), nowNanos);
  }

  /**
   * Records what an event says. A block that no request has asked for never evicts an entry of a
   * customer: a router keeps what it routes, not every block of every server.
   */
  void put(ServerKnowledge knowledge, BlockKey key, BeliefSource source, long nowNanos) {
    version++;
    int block = blocks.find(key.high(), key.low());
    int entry = block == NONE ? NONE : entries.find(block, knowledge.slot());
    if (entry == NONE) {
      expireSome(nowNanos);
      block = blocks.find(key.high(), key.low());
      boolean known = block != NONE && blocks.scope(block) != null;
      if (entries.size() >= capacity) {
        int oldest = entries.oldestOfCustomer(CustomerTable.UNATTRIBUTED);
        int victim = known ? victim(blocks.scope(block), nowNanos) : oldest;
        if (victim == NONE || known && entries.block(victim) == block) {
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
    entries.update(entry, blocks.customer(block), source, knowledge.gapEpoch(), nowNanos);
  }

  private int insert(int block, ServerKnowledge knowledge) {
    int customer = blocks.customer(block);
    customers.add(customer, 1);
    knowledge.addEntries(1);
    return entries.add(block, knowledge.slot(), customer);
  }

  void remove(int entry) {
    version++;
    int block = entries.block(entry);
    int customer = blocks.customer(block);
    server(entries.server(entry)).addEntries(-1);
    entries.remove(entry, customer);
    customers.add(customer, -1);
    if (entries.firstHolder(block) == NONE) {
      blocks.remove(block);
    }
  }

  /** Charges a block that was known from events only to the customer that asked for it. */
  private void attribute(int block, CacheScope scope) {
    int customer = customers.slotOf(scope.customer());
    int entry = entries.firstHolder(block);
    while (entry != NONE) {
      entries.moveCustomer(entry, CustomerTable.UNATTRIBUTED, customer);
      customers.add(CustomerTable.UNATTRIBUTED, -1);
      customers.add(customer, 1);
      entry = entries.nextHolder(entry);
    }
    blocks.assign(block, scope, customer);
  }

  /**
   * Age of a belief in nanoseconds; every reason for doubt counts as additional age.
   *
   * <p>While the events of a server are followed without a gap, a block that it has not announced
   * as evicted is still there, so such a belief ages only from the last event page.
   */
  double age(ServerKnowledge knowledge, int entry, long nowNanos) {
    long used = confirmedNanos(knowledge, entry);
    double halvings = 0;
    if (entries.is(entry, BeliefSource.EVENT)) {
      halvings += knowledge.gapEpoch() - entries.epoch(entry);
    } else if (entries.is(entry, BeliefSource.PENDING)) {
      halvings += PENDING_HALVINGS;
    }
    if (entries.usedNanos(entry) <= knowledge.missedNanos()) {
      halvings += 1;
    }
    return Math.max(0, nowNanos - used) + knowledge.estimator().penaltyNanos(halvings);
  }

  private long confirmedNanos(ServerKnowledge knowledge, int entry) {
    long used = entries.usedNanos(entry);
    boolean followed =
        entries.epoch(entry) == knowledge.gapEpoch()
            && used > knowledge.missedNanos()
            && !entries.is(entry, BeliefSource.PENDING)
            && !entries.is(entry, BeliefSource.EVICTED);
    return followed ? Math.max(used, knowledge.followedNanos()) : used;
  }

  double confidence(int entry, long nowNanos) {
    ServerKnowledge knowledge = server(entries.server(entry));
    return knowledge.estimator().confidence(age(knowledge, entry, nowNanos));
  }

  private void expireSome(long nowNanos) {
    for (int check = 0; check < EXPIRY_CHECKS_PER_INSERT && entries.allocated() > 0; check++) {
      expiryCursor = (expiryCursor + 1) % entries.allocated();
      if (entries.inUse(expiryCursor) && confidence(expiryCursor, nowNanos) == 0) {
        remove(expiryCursor);
      }
    }
  }

  /** Least confident, then oldest, of the customers that are above their floor. */
  private int victim(CacheScope adding, long nowNanos) {
    int best = NONE;
    int compared = 0;
    for (int step = 0; step < customers.size() && compared < CUSTOMERS_PER_EVICTION; step++) {
      customerCursor = (customerCursor + 1) % customers.size();
      if (customers.aboveFloor(customerCursor)) {
        compared++;
        best = leastConfident(best, customerCursor, nowNanos);
      }
    }
    if (best != NONE) {
      return best;
    }
    int own = customers.find(adding.customer());
    return entries.oldestOfCustomer(own == NONE ? customers.largest() : own);
  }

  private int leastConfident(int known, int customer, long nowNanos) {
    int best = known;
    int entry = entries.oldestOfCustomer(customer);
    for (int step = 0; step < OLDEST_PER_CUSTOMER && entry != NONE; step++) {
      if (best == NONE || isWeaker(entry, best, nowNanos)) {
        best = entry;
      }
      entry = entries.newerOfCustomer(entry);
    }
    return best;
  }

  private boolean isWeaker(int left, int right, long nowNanos) {
    int order = Double.compare(confidence(left, nowNanos), confidence(right, nowNanos));
    return order != 0 ? order < 0 : entries.usedNanos(left) < entries.usedNanos(right);
  }
}

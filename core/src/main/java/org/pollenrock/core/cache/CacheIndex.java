package org.pollenrock.core.cache;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixChain;

/**
 * Which server is believed to hold which block.
 *
 * <p>Knowledge belongs to a server and its incarnation: a newer incarnation drops all of it and
 * messages of an older one are ignored. Times are monotonic nanoseconds that never decrease from
 * call to call.
 *
 * <p>An engine can only store a block when it holds the blocks before it. So the confidence that a
 * server holds block <i>i</i> is at least its confidence in any later block of the chain, unless an
 * eviction of block <i>i</i> was reported after that later block was last used.
 */
public final class CacheIndex {
  /** Smallest allowed capacity in entries. */
  public static final int MINIMUM_CAPACITY = 16;

  private static final int HOLDERS_SCANNED_PER_WANTED = 4;
  private static final int NONE = IntLinkedLists.NONE;

  private final IndexStore store;
  private final BlockTable blocks;
  private final EntryTable entries;
  private final Map<BackendServerId, ServerCacheState> servers = new HashMap<>();
  private int[] lastQueryByServer = new int[16];
  private int queryNumber;

  /**
   * Creates an empty index.
   *
   * @param capacity largest number of entries (pairs of block and server), at least {@link
   *     #MINIMUM_CAPACITY}
   * @param customerFloor entries of a customer that other customers cannot evict; lowered so that
   *     all floors fit
   * @throws IllegalArgumentException when a number is out of range
   */
  public CacheIndex(int capacity, int customerFloor) {
    if (capacity < MINIMUM_CAPACITY || customerFloor < 0) {
      throw new IllegalArgumentException("capacity " + capacity + ", floor " + customerFloor);
    }
    store = new IndexStore(capacity, customerFloor);
    blocks = store.blocks();
    entries = store.entries();
  }

  /**
   * Notes the incarnation of a server from any message of it; a newer one drops all knowledge.
   *
   * @param server the server
   * @param incarnation the incarnation that the message names
   * @return false when a newer incarnation is known, so that the message is outdated
   */
  public boolean observeIncarnation(BackendServerId server, Incarnation incarnation) {
    return stateForIncarnation(server, incarnation) != null;
  }

  /**
   * Takes the cache figures of a server's report.
   *
   * @param server the server
   * @param incarnation its incarnation
   * @param capacityBlocks blocks that its cache can hold, 0 when unknown
   * @param storedBlocksPerSecond rate of newly stored blocks
   */
  public void applyReport(
      BackendServerId server,
      Incarnation incarnation,
      long capacityBlocks,
      double storedBlocksPerSecond) {
    ServerCacheState knowledge = stateForIncarnation(server, incarnation);
    if (knowledge != null) {
      knowledge.estimator().applyReport(capacityBlocks, storedBlocksPerSecond);
    }
  }

  /**
   * Notes that a request was sent: its blocks will be cached once its prefill is done.
   *
   * @param server the server
   * @param incarnation the incarnation that the request was sent to
   * @param chain block keys of the request
   * @param nowNanos the time
   */
  public void recordSent(
      BackendServerId server, Incarnation incarnation, PrefixChain chain, long nowNanos) {
    ServerCacheState knowledge = stateForIncarnation(server, incarnation);
    if (knowledge == null) {
      return;
    }
    for (int block = chain.length() - 1; block >= 0; block--) {
      int entry = store.findEntry(knowledge, chain.high(block), chain.low(block));
      boolean weaker = entry == NONE || entries.hasSource(entry, EntrySource.EVICTION_EVENT);
      if (weaker
          || store.effectiveAgeNanos(knowledge, entry, nowNanos)
              > knowledge.estimator().lifetimeNanos()) {
        store.put(knowledge, chain, block, EntrySource.PENDING_REQUEST, nowNanos);
      }
    }
  }

  /**
   * Notes that a request failed before its first token; withdraws what {@link #recordSent} assumed.
   *
   * @param server the server
   * @param incarnation the incarnation that the request was sent to
   * @param chain block keys of the request
   */
  public void recordFailure(BackendServerId server, Incarnation incarnation, PrefixChain chain) {
    ServerCacheState knowledge = servers.get(server);
    if (knowledge == null || !knowledge.incarnation().equals(incarnation)) {
      return;
    }
    for (int block = 0; block < chain.length(); block++) {
      int entry = store.findEntry(knowledge, chain.high(block), chain.low(block));
      if (entry != NONE && entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
        store.remove(entry);
      }
    }
  }

  /**
   * Notes the first token of an own request: the server holds all of its blocks now.
   *
   * <p>Blocks that were believed cached and were not show that the server has evicted at least what
   * it used before them; such entries become suspect.
   *
   * @param server the server
   * @param incarnation the incarnation that the response names
   * @param chain block keys of the request
   * @param cachedBlocks leading blocks that the response says were cached
   * @param nowNanos the time
   */
  public void recordCachedChain(
      BackendServerId server,
      Incarnation incarnation,
      PrefixChain chain,
      int cachedBlocks,
      long nowNanos) {
    ServerCacheState knowledge = stateForIncarnation(server, incarnation);
    if (knowledge == null) {
      return;
    }
    for (int block = cachedBlocks; block < chain.length(); block++) {
      int entry = store.findEntry(knowledge, chain.high(block), chain.low(block));
      if (entry != NONE
          && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)
          && !entries.hasSource(entry, EntrySource.EVICTION_EVENT)) {
        knowledge.recordMiss(entries.usedNanos(entry));
      }
    }
    for (int block = chain.length() - 1; block >= 0; block--) {
      store.put(knowledge, chain, block, EntrySource.OWN_RESPONSE, nowNanos);
    }
  }

  /**
   * Applies cache events of a server in the order of their sequence numbers.
   *
   * <p>Repeated and reordered events at or below the applied sequence number are ignored. A gap
   * halves the confidence of everything that was learned from this server's events.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param events the events
   * @param nowNanos the time
   * @return false when a newer incarnation is known and the events were ignored
   */
  public boolean applyEvents(
      BackendServerId server,
      Incarnation incarnation,
      Collection<CacheEvent> events,
      long nowNanos) {
    ServerCacheState knowledge = stateForIncarnation(server, incarnation);
    if (knowledge == null) {
      return false;
    }
    List<CacheEvent> ordered = new ArrayList<>(events);
    ordered.sort((left, right) -> Long.compare(left.sequence(), right.sequence()));
    for (CacheEvent event : ordered) {
      EventStreamState.Action step = knowledge.eventStream().accept(event.sequence());
      if (step == EventStreamState.Action.IGNORE) {
        continue;
      }
      if (step == EventStreamState.Action.APPLY_AFTER_GAP) {
        knowledge.recordGap();
      }
      applyEvents(knowledge, event.kind() == CacheEvent.Kind.STORED, event.key(), nowNanos);
    }
    return true;
  }

  /**
   * Notes that every event that a server shows at present has been applied.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param nowNanos the time
   */
  public void markEventsCaughtUp(BackendServerId server, Incarnation incarnation, long nowNanos) {
    ServerCacheState knowledge = servers.get(server);
    if (knowledge != null && knowledge.incarnation().equals(incarnation)) {
      knowledge.markEventsCaughtUp(nowNanos);
    }
  }

  /**
   * Replaces the event-based knowledge of a server by a digest of its cache, which repairs suspect
   * entries.
   *
   * @param server the server
   * @param incarnation the incarnation that the digest belongs to
   * @param sequence last event that the digest includes
   * @param held every block that the server holds
   * @param nowNanos the time
   * @return false when the digest is outdated and was ignored
   */
  public boolean applyDigest(
      BackendServerId server,
      Incarnation incarnation,
      long sequence,
      Collection<BlockKey> held,
      long nowNanos) {
    ServerCacheState knowledge = stateForIncarnation(server, incarnation);
    if (knowledge == null || !knowledge.eventStream().advanceTo(sequence)) {
      return false;
    }
    Set<BlockKey> keys = new HashSet<>(held);
    for (int entry : store.entriesOf(knowledge)) {
      int block = entries.blockSlot(entry);
      boolean listed = keys.contains(new BlockKey(blocks.high(block), blocks.low(block)));
      if (!listed && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
        store.remove(entry);
      }
    }
    for (BlockKey key : keys) {
      applyEvents(knowledge, true, key, nowNanos);
    }
    return true;
  }

  /**
   * Drops what is known about a server.
   *
   * @param server the server
   */
  public void removeServer(BackendServerId server) {
    ServerCacheState knowledge = servers.remove(server);
    if (knowledge == null) {
      return;
    }
    store.removeServer(knowledge);
  }

  /**
   * Drops what a server cached for a model under other weights, because loading weights empties its
   * cache. Blocks whose scope is not known are dropped as well.
   *
   * @param server the server
   * @param model the model
   * @param live versions that the server still serves
   */
  public void retainWeights(BackendServerId server, ModelId model, Set<WeightsVersion> live) {
    ServerCacheState knowledge = servers.get(server);
    if (knowledge == null) {
      return;
    }
    for (int entry : store.entriesOf(knowledge)) {
      CacheScope scope = blocks.scope(entries.blockSlot(entry));
      boolean outdated =
          scope == null || scope.model().equals(model) && !live.contains(scope.weights());
      if (outdated) {
        store.remove(entry);
      }
    }
  }

  /**
   * Finds the blocks of a chain.
   *
   * @param chain block keys of a prompt
   * @return the lookup, valid until the index changes
   */
  public ChainLookup lookup(PrefixChain chain) {
    int[] found = new int[chain.length()];
    for (int block = 0; block < found.length; block++) {
      found[block] = blocks.find(chain.high(block), chain.low(block));
    }
    return new ChainLookup(chain, found, store.version());
  }

  /**
   * Servers that are believed to hold part of a chain, those with the deepest blocks first and then
   * the most recently used.
   *
   * @param lookup the chain
   * @param limit largest number of servers
   * @param nowNanos the time
   * @return the servers, without duplicates
   */
  public List<BackendServerId> holders(ChainLookup lookup, int limit, long nowNanos) {
    lookup.requireVersion(store.version());
    List<BackendServerId> found = new ArrayList<>(Math.min(limit, 16));
    queryNumber++;
    int[] slots = lookup.blockSlots();
    for (int position = slots.length - 1; position >= 0 && found.size() < limit; position--) {
      if (slots[position] != NONE) {
        addHolders(slots[position], limit, nowNanos, found);
      }
    }
    return found;
  }

  private void addHolders(int block, int limit, long nowNanos, List<BackendServerId> found) {
    int budget = HOLDERS_SCANNED_PER_WANTED * limit;
    int entry = entries.firstEntryOfBlock(block);
    while (entry != NONE && found.size() < limit && budget-- > 0) {
      int slot = entries.serverSlot(entry);
      boolean candidate =
          lastQueryByServer[slot] != queryNumber
              && !entries.hasSource(entry, EntrySource.EVICTION_EVENT);
      if (candidate && store.confidence(entry, nowNanos) > 0) {
        lastQueryByServer[slot] = queryNumber;
        found.add(store.server(slot).id());
      }
      entry = entries.nextEntryOfBlock(entry);
    }
  }

  /**
   * Expected number of leading blocks of a chain that a server holds.
   *
   * @param lookup the chain
   * @param server the server
   * @param incarnation the incarnation that the request would be sent to
   * @param nowNanos the time
   * @return blocks, 0 when the knowledge belongs to another incarnation
   */
  public double expectedBlocks(
      ChainLookup lookup, BackendServerId server, Incarnation incarnation, long nowNanos) {
    lookup.requireVersion(store.version());
    ServerCacheState knowledge = servers.get(server);
    if (knowledge == null
        || knowledge.entryCount() == 0
        || !knowledge.incarnation().equals(incarnation)) {
      return 0;
    }
    int[] slots = lookup.blockSlots();
    double expected = 0;
    double confidence = 0;
    double bestAge = Double.POSITIVE_INFINITY;
    long newest = Long.MIN_VALUE;
    for (int position = slots.length - 1; position >= 0; position--) {
      int entry = slots[position] == NONE ? NONE : entries.find(slots[position], knowledge.slot());
      if (entry != NONE && entries.hasSource(entry, EntrySource.EVICTION_EVENT)) {
        if (newest <= entries.usedNanos(entry)) {
          expected = 0;
          confidence = 0;
          bestAge = Double.POSITIVE_INFINITY;
        }
      } else if (entry != NONE) {
        newest = Math.max(newest, entries.usedNanos(entry));
        double age = store.effectiveAgeNanos(knowledge, entry, nowNanos);
        if (age < bestAge) {
          bestAge = age;
          confidence = knowledge.estimator().confidence(age);
        }
      }
      expected += confidence;
    }
    return expected;
  }

  /**
   * Estimated lifetime of an unused block on a server.
   *
   * @param server the server
   * @return nanoseconds
   */
  public double lifetimeNanos(BackendServerId server) {
    ServerCacheState knowledge = servers.get(server);
    return knowledge == null
        ? EvictionEstimator.DEFAULT_LIFETIME_NANOS
        : knowledge.estimator().lifetimeNanos();
  }

  /**
   * Position in the event stream of a server.
   *
   * @param server the server
   * @return the position, empty when nothing is known about the server
   */
  public Optional<EventStreamState> eventStream(BackendServerId server) {
    return Optional.ofNullable(servers.get(server)).map(ServerCacheState::eventStream);
  }

  /**
   * Number of entries.
   *
   * @return pairs of block and server, at most the capacity
   */
  public int entryCount() {
    return entries.size();
  }

  /**
   * Number of entries of one customer.
   *
   * @param customer the customer
   * @return pairs of block and server
   */
  public int entryCount(CustomerId customer) {
    return store.customers().entryCount(customer);
  }

  private ServerCacheState stateForIncarnation(BackendServerId server, Incarnation incarnation) {
    ServerCacheState knowledge = servers.get(server);
    if (knowledge == null) {
      knowledge = store.addServer(server, incarnation);
      servers.put(server, knowledge);
      if (knowledge.slot() >= lastQueryByServer.length) {
        lastQueryByServer = Arrays.copyOf(lastQueryByServer, 2 * lastQueryByServer.length);
      }
      return knowledge;
    }
    if (knowledge.incarnation().isAfter(incarnation)) {
      return null;
    }
    if (incarnation.isAfter(knowledge.incarnation())) {
      store.removeEntries(knowledge);
      knowledge.resetTo(incarnation);
    }
    return knowledge;
  }

  private void applyEvents(
      ServerCacheState knowledge, boolean stored, BlockKey key, long nowNanos) {
    int entry = store.findEntry(knowledge, key.high(), key.low());
    boolean believed = entry != NONE && store.confidence(entry, nowNanos) > 0;
    if (stored) {
      boolean own = believed && entries.hasSource(entry, EntrySource.OWN_RESPONSE);
      EntrySource source = own ? EntrySource.OWN_RESPONSE : EntrySource.CACHE_EVENT;
      store.put(knowledge, key, source, nowNanos);
    } else if (believed) {
      store.put(knowledge, key, EntrySource.EVICTION_EVENT, nowNanos);
    }
  }
}

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
 * Index of the prefix blocks that each server is expected to hold.
 *
 * <p>Each entry stands for one block on one incarnation of a server. When a newer incarnation is
 * seen, all entries of the server are removed; messages of an older incarnation are ignored. Times
 * are monotonic nanoseconds that never decrease from call to call.
 *
 * <p>An entry has a confidence: the probability that the server still holds the block. An engine
 * can store a block only when it holds all preceding blocks of the chain. So the confidence in
 * block <i>i</i> is at least the confidence in any later block of the chain, unless an eviction of
 * block <i>i</i> was reported after that later block was last used.
 */
public final class CacheIndex {
  /** Smallest allowed capacity in entries. */
  public static final int MINIMUM_CAPACITY = 16;

  /**
   * Number of entries of one block that a search for holders examines for each server that it may
   * return.
   */
  private static final int SCANNED_ENTRIES_PER_REQUESTED_HOLDER = 4;

  private static final int NONE = IntLinkedLists.NONE;

  private final IndexStore store;
  private final BlockTable blocks;
  private final EntryTable entries;
  private final Map<BackendServerId, ServerCacheState> servers = new HashMap<>();

  /** Number of the last search for holders that found a server, by the slot of the server. */
  private int[] lastQueryByServer = new int[16];

  /** Number of the latest search for holders. */
  private int queryNumber;

  /**
   * Creates an empty index.
   *
   * @param capacity largest number of entries (pairs of block and server), at least {@link
   *     #MINIMUM_CAPACITY}
   * @param customerFloor number of entries of each customer that other customers cannot evict;
   *     lowered when the floors of all customers exceed the capacity
   * @throws IllegalArgumentException when the capacity is below {@link #MINIMUM_CAPACITY} or the
   *     floor is negative
   */
  public CacheIndex(int capacity, int customerFloor) {
    if (capacity < MINIMUM_CAPACITY || customerFloor < 0) {
      throw new IllegalArgumentException(
          "invalid capacity " + capacity + " or customer floor " + customerFloor);
    }
    store = new IndexStore(capacity, customerFloor);
    blocks = store.blocks();
    entries = store.entries();
  }

  /**
   * Records the incarnation that a message of a server names. A newer incarnation removes all
   * entries of the server.
   *
   * @param server the server
   * @param incarnation the incarnation that the message names
   * @return false when a newer incarnation is known, so that the message is outdated
   */
  public boolean observeIncarnation(BackendServerId server, Incarnation incarnation) {
    return stateForIncarnation(server, incarnation) != null;
  }

  /**
   * Updates the estimated block lifetime of a server from the server's report.
   *
   * @param server the server
   * @param incarnation its incarnation
   * @param capacityBlocks number of blocks that the cache of the server can hold, 0 when unknown
   * @param storedBlocksPerSecond rate of newly stored blocks
   */
  public void applyReport(
      BackendServerId server,
      Incarnation incarnation,
      long capacityBlocks,
      double storedBlocksPerSecond) {
    ServerCacheState state = stateForIncarnation(server, incarnation);
    if (state != null) {
      state.evictionEstimator().applyReport(capacityBlocks, storedBlocksPerSecond);
    }
  }

  /**
   * Records that a request was sent. The server will cache the blocks of the request when the
   * prefill is done.
   *
   * @param server the server
   * @param incarnation the incarnation that the request was sent to
   * @param chain block keys of the request
   * @param nowNanos the time
   */
  public void recordSent(
      BackendServerId server, Incarnation incarnation, PrefixChain chain, long nowNanos) {
    ServerCacheState state = stateForIncarnation(server, incarnation);
    if (state == null) {
      return;
    }
    for (int block = chain.length() - 1; block >= 0; block--) {
      int entry = store.findEntry(state, chain.high(block), chain.low(block));
      boolean missingOrEvicted =
          entry == NONE || entries.hasSource(entry, EntrySource.EVICTION_EVENT);
      if (missingOrEvicted
          || store.effectiveAgeNanos(state, entry, nowNanos)
              > state.evictionEstimator().lifetimeNanos()) {
        store.put(state, chain, block, EntrySource.PENDING_REQUEST, nowNanos);
      }
    }
  }

  /**
   * Records that a request failed before its first token, and removes the entries that {@link
   * #recordSent} added.
   *
   * @param server the server
   * @param incarnation the incarnation that the request was sent to
   * @param chain block keys of the request
   */
  public void recordFailure(BackendServerId server, Incarnation incarnation, PrefixChain chain) {
    ServerCacheState state = servers.get(server);
    if (state == null || !state.incarnation().equals(incarnation)) {
      return;
    }
    for (int block = 0; block < chain.length(); block++) {
      int entry = store.findEntry(state, chain.high(block), chain.low(block));
      if (entry != NONE && entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
        store.remove(entry);
      }
    }
  }

  /**
   * Records that a server holds all blocks of a chain, for example because the first token of a
   * request of this router has arrived.
   *
   * <p>A block that the index contains but that was not cached shows that the server has also
   * evicted blocks that were last used before that block. The confidence of all entries that were
   * last used at that time or earlier is halved.
   *
   * @param server the server
   * @param incarnation the incarnation that the response names
   * @param chain block keys of the request
   * @param cachedBlocks number of leading blocks that were already cached before the request
   * @param nowNanos the time
   */
  public void recordCachedChain(
      BackendServerId server,
      Incarnation incarnation,
      PrefixChain chain,
      int cachedBlocks,
      long nowNanos) {
    ServerCacheState state = stateForIncarnation(server, incarnation);
    if (state == null) {
      return;
    }
    for (int block = cachedBlocks; block < chain.length(); block++) {
      int entry = store.findEntry(state, chain.high(block), chain.low(block));
      if (entry != NONE
          && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)
          && !entries.hasSource(entry, EntrySource.EVICTION_EVENT)) {
        state.recordMiss(entries.usedNanos(entry));
      }
    }
    for (int block = chain.length() - 1; block >= 0; block--) {
      store.put(state, chain, block, EntrySource.OWN_RESPONSE, nowNanos);
    }
  }

  /**
   * Applies cache events of a server in the order of their sequence numbers.
   *
   * <p>Repeated and reordered events at or below the last applied sequence number are ignored. A
   * gap halves the confidence of all entries that were learned from events of this server.
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
    ServerCacheState state = stateForIncarnation(server, incarnation);
    if (state == null) {
      return false;
    }
    List<CacheEvent> sortedEvents = new ArrayList<>(events);
    sortedEvents.sort((left, right) -> Long.compare(left.sequence(), right.sequence()));
    for (CacheEvent event : sortedEvents) {
      EventStreamState.Action action = state.eventStream().accept(event.sequence());
      if (action == EventStreamState.Action.IGNORE) {
        continue;
      }
      if (action == EventStreamState.Action.APPLY_AFTER_GAP) {
        state.recordGap();
      }
      updateEntry(state, event.kind() == CacheEvent.Kind.STORED, event.key(), nowNanos);
    }
    return true;
  }

  /**
   * Records that every event that a server offers at present has been applied.
   *
   * @param server the server
   * @param incarnation the incarnation that the events belong to
   * @param nowNanos the time
   */
  public void markEventsCaughtUp(BackendServerId server, Incarnation incarnation, long nowNanos) {
    ServerCacheState state = servers.get(server);
    if (state != null && state.incarnation().equals(incarnation)) {
      state.markEventsCaughtUp(nowNanos);
    }
  }

  /**
   * Replaces the entries of a server by a digest of the server's cache. Entries that were suspect
   * are confirmed or removed; entries of pending requests stay.
   *
   * @param server the server
   * @param incarnation the incarnation that the digest belongs to
   * @param sequence sequence number of the last event that the digest includes
   * @param heldBlocks every block that the server holds
   * @param nowNanos the time
   * @return false when the digest is outdated and was ignored
   */
  public boolean applyDigest(
      BackendServerId server,
      Incarnation incarnation,
      long sequence,
      Collection<BlockKey> heldBlocks,
      long nowNanos) {
    ServerCacheState state = stateForIncarnation(server, incarnation);
    if (state == null || !state.eventStream().advanceTo(sequence)) {
      return false;
    }
    Set<BlockKey> keys = new HashSet<>(heldBlocks);
    for (int entry : store.entriesOf(state)) {
      int blockSlot = entries.blockSlot(entry);
      boolean inDigest = keys.contains(new BlockKey(blocks.high(blockSlot), blocks.low(blockSlot)));
      if (!inDigest && !entries.hasSource(entry, EntrySource.PENDING_REQUEST)) {
        store.remove(entry);
      }
    }
    for (BlockKey key : keys) {
      updateEntry(state, true, key, nowNanos);
    }
    return true;
  }

  /**
   * Removes a server with all its entries.
   *
   * @param server the server
   */
  public void removeServer(BackendServerId server) {
    ServerCacheState state = servers.remove(server);
    if (state == null) {
      return;
    }
    store.removeServer(state);
  }

  /**
   * Removes the entries of a server for blocks that were computed for a model under other weights
   * versions, because loading weights empties the cache of the server. Entries of blocks whose
   * scope is unknown are removed as well.
   *
   * @param server the server
   * @param model the model
   * @param servedVersions weights versions of the model that the server still serves
   */
  public void retainWeights(
      BackendServerId server, ModelId model, Set<WeightsVersion> servedVersions) {
    ServerCacheState state = servers.get(server);
    if (state == null) {
      return;
    }
    for (int entry : store.entriesOf(state)) {
      CacheScope scope = blocks.scope(entries.blockSlot(entry));
      boolean outdated =
          scope == null || scope.model().equals(model) && !servedVersions.contains(scope.weights());
      if (outdated) {
        store.remove(entry);
      }
    }
  }

  /**
   * Looks up the blocks of a chain.
   *
   * @param chain block keys of a prompt
   * @return the lookup, valid until the index changes
   */
  public ChainLookup lookup(PrefixChain chain) {
    int[] blockSlots = new int[chain.length()];
    for (int block = 0; block < blockSlots.length; block++) {
      blockSlots[block] = blocks.find(chain.high(block), chain.low(block));
    }
    return new ChainLookup(chain, blockSlots, store.version());
  }

  /**
   * Returns servers that are expected to hold part of a chain: first the servers with the deepest
   * blocks, and among servers with the same block the most recently used ones.
   *
   * @param lookup the lookup of the chain
   * @param limit largest number of servers
   * @param nowNanos the time
   * @return the servers, without duplicates
   */
  public List<BackendServerId> holders(ChainLookup lookup, int limit, long nowNanos) {
    lookup.requireVersion(store.version());
    List<BackendServerId> found = new ArrayList<>(Math.min(limit, 16));
    queryNumber++;
    int[] blockSlots = lookup.blockSlots();
    for (int position = blockSlots.length - 1; position >= 0 && found.size() < limit; position--) {
      if (blockSlots[position] != NONE) {
        addHolders(blockSlots[position], limit, nowNanos, found);
      }
    }
    return found;
  }

  /**
   * Adds the servers that are expected to hold a block and that the present search has not yet
   * found.
   */
  private void addHolders(int blockSlot, int limit, long nowNanos, List<BackendServerId> found) {
    int remainingScans = SCANNED_ENTRIES_PER_REQUESTED_HOLDER * limit;
    int entry = entries.firstEntryOfBlock(blockSlot);
    while (entry != NONE && found.size() < limit && remainingScans-- > 0) {
      int serverSlot = entries.serverSlot(entry);
      boolean candidate =
          lastQueryByServer[serverSlot] != queryNumber
              && !entries.hasSource(entry, EntrySource.EVICTION_EVENT);
      if (candidate && store.confidence(entry, nowNanos) > 0) {
        lastQueryByServer[serverSlot] = queryNumber;
        found.add(store.server(serverSlot).id());
      }
      entry = entries.nextEntryOfBlock(entry);
    }
  }

  /**
   * Returns the expected number of leading blocks of a chain that a server holds.
   *
   * @param lookup the lookup of the chain
   * @param server the server
   * @param incarnation the incarnation that the request would be sent to
   * @param nowNanos the time
   * @return expected number of blocks, 0 when the entries belong to another incarnation
   */
  public double expectedBlocks(
      ChainLookup lookup, BackendServerId server, Incarnation incarnation, long nowNanos) {
    lookup.requireVersion(store.version());
    ServerCacheState state = servers.get(server);
    if (state == null || state.entryCount() == 0 || !state.incarnation().equals(incarnation)) {
      return 0;
    }
    int[] blockSlots = lookup.blockSlots();
    double expected = 0;
    double confidence = 0;
    double lowestAgeNanos = Double.POSITIVE_INFINITY;
    long latestUseNanos = Long.MIN_VALUE;
    for (int position = blockSlots.length - 1; position >= 0; position--) {
      int entry =
          blockSlots[position] == NONE ? NONE : entries.find(blockSlots[position], state.slot());
      if (entry != NONE && entries.hasSource(entry, EntrySource.EVICTION_EVENT)) {
        if (latestUseNanos <= entries.usedNanos(entry)) {
          expected = 0;
          confidence = 0;
          lowestAgeNanos = Double.POSITIVE_INFINITY;
        }
      } else if (entry != NONE) {
        latestUseNanos = Math.max(latestUseNanos, entries.usedNanos(entry));
        double ageNanos = store.effectiveAgeNanos(state, entry, nowNanos);
        if (ageNanos < lowestAgeNanos) {
          lowestAgeNanos = ageNanos;
          confidence = state.evictionEstimator().confidence(ageNanos);
        }
      }
      expected += confidence;
    }
    return expected;
  }

  /**
   * Returns the estimated lifetime of an unused block on a server.
   *
   * @param server the server
   * @return nanoseconds
   */
  public double lifetimeNanos(BackendServerId server) {
    ServerCacheState state = servers.get(server);
    return state == null
        ? EvictionEstimator.DEFAULT_LIFETIME_NANOS
        : state.evictionEstimator().lifetimeNanos();
  }

  /**
   * Returns the position in the event stream of a server.
   *
   * @param server the server
   * @return the position, empty when the index does not contain the server
   */
  public Optional<EventStreamState> eventStream(BackendServerId server) {
    return Optional.ofNullable(servers.get(server)).map(ServerCacheState::eventStream);
  }

  /**
   * Returns the number of entries.
   *
   * @return number of pairs of block and server, at most the capacity
   */
  public int entryCount() {
    return entries.size();
  }

  /**
   * Returns the number of entries of one customer.
   *
   * @param customer the customer
   * @return number of pairs of block and server
   */
  public int entryCount(CustomerId customer) {
    return store.customers().entryCount(customer);
  }

  /**
   * Returns the state of a server, which is added or reset when the incarnation is new; null when a
   * newer incarnation is known.
   */
  private ServerCacheState stateForIncarnation(BackendServerId server, Incarnation incarnation) {
    ServerCacheState state = servers.get(server);
    if (state == null) {
      state = store.addServer(server, incarnation);
      servers.put(server, state);
      if (state.slot() >= lastQueryByServer.length) {
        lastQueryByServer = Arrays.copyOf(lastQueryByServer, 2 * lastQueryByServer.length);
      }
      return state;
    }
    if (state.incarnation().isAfter(incarnation)) {
      return null;
    }
    if (incarnation.isAfter(state.incarnation())) {
      store.removeEntries(state);
      state.resetTo(incarnation);
    }
    return state;
  }

  /** Updates the entry of a block that a server reported as stored or evicted. */
  private void updateEntry(ServerCacheState state, boolean stored, BlockKey key, long nowNanos) {
    int entry = store.findEntry(state, key.high(), key.low());
    boolean usable = entry != NONE && store.confidence(entry, nowNanos) > 0;
    if (stored) {
      boolean fromOwnResponse = usable && entries.hasSource(entry, EntrySource.OWN_RESPONSE);
      EntrySource source = fromOwnResponse ? EntrySource.OWN_RESPONSE : EntrySource.CACHE_EVENT;
      store.put(state, key, source, nowNanos);
    } else if (usable) {
      store.put(state, key, EntrySource.EVICTION_EVENT, nowNanos);
    }
  }
}

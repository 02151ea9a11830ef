package org.pollenrock.core.cache;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.cache.CacheFixture.NANOS_PER_SECOND;
import static org.pollenrock.core.cache.CacheFixture.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.prefix.PrefixChain;

/**
 * Compares the index with a simple, slow reference implementation and checks its bounds, both on
 * random sequences of calls.
 */
class CacheIndexPropertyTest {
  private static final int STEPS = 60;
  private static final List<BackendServerId> SERVER_IDS =
      List.of(new BackendServerId("s1"), new BackendServerId("s2"), new BackendServerId("s3"));
  private static final List<PrefixChain> CHAINS =
      List.of(
          chain("a", 1, 0, 4),
          chain("a", 2, 2, 5),
          chain("a", 3, 2, 3),
          chain("b", 1, 0, 4),
          chain("b", 2, 2, 4));

  /** Guards against a difference between the index and the reference implementation. */
  @Property(seed = "4301", tries = 400, shrinking = ShrinkingMode.OFF)
  void matchesReferenceIndex(@ForAll long seed) {
    Random random = new Random(seed);
    CacheIndex index = new CacheIndex(1_000, 5);
    ReferenceIndex reference = new ReferenceIndex();
    long nowNanos = 0;
    for (int step = 0; step < STEPS; step++) {
      nowNanos += random.nextInt(4) * NANOS_PER_SECOND / 2;
      BackendServerId server = SERVER_IDS.get(random.nextInt(SERVER_IDS.size()));
      Incarnation incarnation = new Incarnation(1 + random.nextInt(step / 20 + 1));
      PrefixChain chain = CHAINS.get(random.nextInt(CHAINS.size()));
      switch (random.nextInt(5)) {
        case 0 -> {
          index.recordSent(server, incarnation, chain, nowNanos);
          reference.recordSent(server, incarnation, chain, nowNanos);
        }
        case 1 -> {
          index.recordFailure(server, incarnation, chain);
          reference.recordFailure(server, incarnation, chain);
        }
        case 2 -> {
          int cachedBlocks = random.nextInt(chain.length() + 1);
          index.recordCachedChain(server, incarnation, chain, cachedBlocks, nowNanos);
          reference.recordCachedChain(server, incarnation, chain, cachedBlocks, nowNanos);
        }
        default -> {
          List<CacheEvent> events = randomEvents(random, chain, step);
          index.applyEvents(server, incarnation, events, nowNanos);
          reference.applyEvents(server, incarnation, events, nowNanos);
        }
      }
      assertSameExpectations(index, reference, nowNanos);
    }
  }

  /** Returns events for all blocks of a chain, with gaps and repeated sequence numbers. */
  private static List<CacheEvent> randomEvents(Random random, PrefixChain chain, int step) {
    List<CacheEvent> events = new ArrayList<>();
    long sequence = 1 + random.nextInt(step + 3);
    for (int block = 0; block < chain.length(); block++) {
      CacheEvent.Kind kind =
          random.nextInt(3) == 0 ? CacheEvent.Kind.EVICTED : CacheEvent.Kind.STORED;
      events.add(new CacheEvent(sequence, kind, chain.key(block)));
      sequence += random.nextInt(8) == 0 ? 2 : 1;
    }
    return events;
  }

  private static void assertSameExpectations(
      CacheIndex index, ReferenceIndex reference, long nowNanos) {
    for (PrefixChain chain : CHAINS) {
      ChainLookup lookup = index.lookup(chain);
      Set<BackendServerId> holders = new HashSet<>(index.holders(lookup, 8, nowNanos));
      for (BackendServerId server : SERVER_IDS) {
        for (long number = 1; number <= 3; number++) {
          Incarnation incarnation = new Incarnation(number);
          double expected = reference.expectedBlocks(chain, server, incarnation, nowNanos);
          assertThat(index.expectedBlocks(lookup, server, incarnation, nowNanos))
              .isCloseTo(expected, within(1e-9));
          assertThat(expected == 0 || holders.contains(server)).isTrue();
        }
      }
    }
  }

  /**
   * Guards against an index that exceeds its capacity, and against a customer that falls below its
   * floor because other customers add entries.
   */
  @Property(seed = "4302", tries = 100, shrinking = ShrinkingMode.OFF)
  void enforcesCapacityAndCustomerFloors(@ForAll long seed) {
    Random random = new Random(seed);
    int capacity = 16 + random.nextInt(60);
    int floor = random.nextInt(12);
    CacheIndex index = new CacheIndex(capacity, floor);
    Map<String, Integer> previousCounts = new HashMap<>();
    for (int step = 0; step < 200; step++) {
      String customer = "c" + random.nextInt(4);
      BackendServerId server = SERVER_IDS.get(random.nextInt(SERVER_IDS.size()));
      PrefixChain chain = chain(customer, random.nextInt(20), 1, 1 + random.nextInt(5));
      index.recordCachedChain(server, new Incarnation(1), chain, 0, step);
      assertThat(index.entryCount()).isLessThanOrEqualTo(capacity);
      int effectiveFloor = Math.min(floor, capacity / 4);
      int total = 0;
      for (int number = 0; number < 4; number++) {
        String checkedCustomer = "c" + number;
        int count = index.entryCount(new CustomerId(checkedCustomer));
        total += count;
        if (!checkedCustomer.equals(customer)) {
          int guaranteed =
              Math.min(effectiveFloor, previousCounts.getOrDefault(checkedCustomer, 0));
          assertThat(count).isGreaterThanOrEqualTo(guaranteed);
        }
        previousCounts.put(checkedCustomer, count);
      }
      assertThat(total).isEqualTo(index.entryCount());
    }
  }

  /** Implements the rules of the index with one object for each entry and without a capacity. */
  private static final class ReferenceIndex {
    private static final double LIFETIME_NANOS = EvictionEstimator.DEFAULT_LIFETIME_NANOS;

    private final Map<BackendServerId, ServerState> servers = new HashMap<>();

    private ServerState stateForIncarnation(BackendServerId id, Incarnation incarnation) {
      ServerState server = servers.get(id);
      if (server == null || incarnation.isAfter(server.incarnation)) {
        server = new ServerState(incarnation);
        servers.put(id, server);
      }
      return server.incarnation.equals(incarnation) ? server : null;
    }

    void recordSent(BackendServerId id, Incarnation incarnation, PrefixChain chain, long nowNanos) {
      ServerState server = stateForIncarnation(id, incarnation);
      if (server == null) {
        return;
      }
      for (BlockKey key : chain.keys()) {
        Entry entry = server.entries.get(key);
        boolean missingOrEvicted = entry == null || entry.source.equals("evicted");
        if (missingOrEvicted || server.confidence(entry, nowNanos) < Math.exp(-1)) {
          server.entries.put(key, new Entry("pending", nowNanos, server.gapCount));
        }
      }
    }

    void recordFailure(BackendServerId id, Incarnation incarnation, PrefixChain chain) {
      ServerState server = servers.get(id);
      if (server != null && server.incarnation.equals(incarnation)) {
        for (BlockKey key : chain.keys()) {
          server.entries.computeIfPresent(
              key, (unchangedKey, entry) -> entry.source.equals("pending") ? null : entry);
        }
      }
    }

    void recordCachedChain(
        BackendServerId id,
        Incarnation incarnation,
        PrefixChain chain,
        int cachedBlocks,
        long nowNanos) {
      ServerState server = stateForIncarnation(id, incarnation);
      if (server == null) {
        return;
      }
      for (int block = cachedBlocks; block < chain.length(); block++) {
        Entry entry = server.entries.get(chain.key(block));
        if (entry != null && (entry.source.equals("own") || entry.source.equals("event"))) {
          server.latestMissedUseNanos = Math.max(server.latestMissedUseNanos, entry.usedNanos);
        }
      }
      for (BlockKey key : chain.keys()) {
        server.entries.put(key, new Entry("own", nowNanos, server.gapCount));
      }
    }

    void applyEvents(
        BackendServerId id, Incarnation incarnation, List<CacheEvent> events, long nowNanos) {
      ServerState server = stateForIncarnation(id, incarnation);
      if (server == null) {
        return;
      }
      for (CacheEvent event : events) {
        if (event.sequence() <= server.lastAppliedSequence) {
          continue;
        }
        if (server.lastAppliedSequence > 0 && event.sequence() > server.lastAppliedSequence + 1) {
          server.gapCount++;
        }
        server.lastAppliedSequence = event.sequence();
        Entry entry = server.entries.get(event.key());
        boolean usable = entry != null && server.confidence(entry, nowNanos) > 0;
        if (event.kind() == CacheEvent.Kind.STORED) {
          String source = usable && entry.source.equals("own") ? "own" : "event";
          server.entries.put(event.key(), new Entry(source, nowNanos, server.gapCount));
        } else if (usable) {
          server.entries.put(event.key(), new Entry("evicted", nowNanos, server.gapCount));
        }
      }
    }

    double expectedBlocks(
        PrefixChain chain, BackendServerId id, Incarnation incarnation, long nowNanos) {
      ServerState server = servers.get(id);
      if (server == null || !server.incarnation.equals(incarnation)) {
        return 0;
      }
      double expected = 0;
      for (int block = 0; block < chain.length(); block++) {
        if (server.endsUsablePrefix(chain, block)) {
          return expected;
        }
        double highestConfidence = 0;
        for (int later = block; later < chain.length(); later++) {
          Entry entry = server.entries.get(chain.key(later));
          boolean usable = entry != null && !entry.source.equals("evicted");
          if (usable && !server.isSeparatedByEviction(chain, block, later)) {
            highestConfidence = Math.max(highestConfidence, server.confidence(entry, nowNanos));
          }
        }
        expected += highestConfidence;
      }
      return expected;
    }

    private record Entry(String source, long usedNanos, int gapCount) {}

    private static final class ServerState {
      private final Incarnation incarnation;
      private final Map<BlockKey, Entry> entries = new HashMap<>();
      private long lastAppliedSequence;
      private int gapCount;
      private long latestMissedUseNanos = Long.MIN_VALUE;

      ServerState(Incarnation incarnation) {
        this.incarnation = incarnation;
      }

      double confidence(Entry entry, long nowNanos) {
        double confidence = Math.exp(-(nowNanos - entry.usedNanos) / LIFETIME_NANOS);
        if (entry.source.equals("event")) {
          confidence *= Math.pow(0.5, gapCount - entry.gapCount);
        }
        if (entry.source.equals("pending")) {
          confidence *= 0.95;
        }
        if (entry.usedNanos <= latestMissedUseNanos) {
          confidence *= 0.5;
        }
        return confidence < EvictionEstimator.MINIMUM_CONFIDENCE ? 0 : confidence;
      }

      /** Tests whether a block was evicted and no later block of the chain was used afterwards. */
      boolean endsUsablePrefix(PrefixChain chain, int block) {
        Entry entry = entries.get(chain.key(block));
        if (entry == null || !entry.source.equals("evicted")) {
          return false;
        }
        for (int later = block + 1; later < chain.length(); later++) {
          Entry laterEntry = entries.get(chain.key(later));
          boolean usable = laterEntry != null && !laterEntry.source.equals("evicted");
          if (usable && laterEntry.usedNanos > entry.usedNanos) {
            return false;
          }
        }
        return true;
      }

      /**
       * Tests whether a block from {@code from} up to {@code later}, exclusive, is evicted, so that
       * the entry of the later block does not imply that block {@code from} is cached.
       */
      boolean isSeparatedByEviction(PrefixChain chain, int from, int later) {
        for (int between = from; between < later; between++) {
          if (endsUsablePrefix(chain, between)) {
            return true;
          }
        }
        return false;
      }
    }
  }
}

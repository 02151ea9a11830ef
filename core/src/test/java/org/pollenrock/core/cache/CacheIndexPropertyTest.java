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

/** Compares the index with a plain slow model and checks its bounds on generated schedules. */
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

  /** Guards against any difference between the linked arrays and the written rules. */
  @Property(seed = "4301", tries = 400, shrinking = ShrinkingMode.OFF)
  void matchesReferenceIndex(@ForAll long seed) {
    Random random = new Random(seed);
    CacheIndex index = new CacheIndex(1_000, 5);
    ReferenceIndex model = new ReferenceIndex();
    long now = 0;
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(4) * NANOS_PER_SECOND / 2;
      BackendServerId server = SERVER_IDS.get(random.nextInt(SERVER_IDS.size()));
      Incarnation incarnation = new Incarnation(1 + random.nextInt(step / 20 + 1));
      PrefixChain chain = CHAINS.get(random.nextInt(CHAINS.size()));
      switch (random.nextInt(5)) {
        case 0 -> {
          index.recordSent(server, incarnation, chain, now);
          model.recordSent(server, incarnation, chain, now);
        }
        case 1 -> {
          index.recordFailure(server, incarnation, chain);
          model.recordFailure(server, incarnation, chain);
        }
        case 2 -> {
          int cached = random.nextInt(chain.length() + 1);
          index.recordCachedChain(server, incarnation, chain, cached, now);
          model.recordCachedChain(server, incarnation, chain, cached, now);
        }
        default -> {
          List<CacheEvent> events = randomEvents(random, chain, step);
          index.applyEvents(server, incarnation, events, now);
          model.applyEvents(server, incarnation, events, now);
        }
      }
      assertSameExpectations(index, model, now);
    }
  }

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

  private static void assertSameExpectations(CacheIndex index, ReferenceIndex model, long now) {
    for (PrefixChain chain : CHAINS) {
      ChainLookup lookup = index.lookup(chain);
      Set<BackendServerId> holders = new HashSet<>(index.holders(lookup, 8, now));
      for (BackendServerId server : SERVER_IDS) {
        for (long life = 1; life <= 3; life++) {
          Incarnation incarnation = new Incarnation(life);
          double expected = model.expectedBlocks(chain, server, incarnation, now);
          assertThat(index.expectedBlocks(lookup, server, incarnation, now))
              .isCloseTo(expected, within(1e-9));
          assertThat(expected == 0 || holders.contains(server)).isTrue();
        }
      }
    }
  }

  /** Guards against an index that outgrows its bound, or a customer below its floor. */
  @Property(seed = "4302", tries = 100, shrinking = ShrinkingMode.OFF)
  void enforcesCapacityAndCustomerFloors(@ForAll long seed) {
    Random random = new Random(seed);
    int capacity = 16 + random.nextInt(60);
    int floor = random.nextInt(12);
    CacheIndex index = new CacheIndex(capacity, floor);
    Map<String, Integer> before = new HashMap<>();
    for (int step = 0; step < 200; step++) {
      String customer = "c" + random.nextInt(4);
      BackendServerId server = SERVER_IDS.get(random.nextInt(SERVER_IDS.size()));
      PrefixChain chain = chain(customer, random.nextInt(20), 1, 1 + random.nextInt(5));
      index.recordCachedChain(server, new Incarnation(1), chain, 0, step);
      assertThat(index.entryCount()).isLessThanOrEqualTo(capacity);
      int effective = Math.min(floor, capacity / 4);
      int total = 0;
      for (int other = 0; other < 4; other++) {
        String name = "c" + other;
        int count = index.entryCount(new CustomerId(name));
        total += count;
        if (!name.equals(customer)) {
          int kept = Math.min(effective, before.getOrDefault(name, 0));
          assertThat(count).isGreaterThanOrEqualTo(kept);
        }
        before.put(name, count);
      }
      assertThat(total).isEqualTo(index.entryCount());
    }
  }

  /** The rules of the index with one object per belief and no bound. */
  private static final class ReferenceIndex {
    private static final double LIFETIME = EvictionEstimator.DEFAULT_LIFETIME_NANOS;

    private final Map<BackendServerId, ServerState> servers = new HashMap<>();

    private ServerState stateForIncarnation(BackendServerId id, Incarnation incarnation) {
      ServerState server = servers.get(id);
      if (server == null || incarnation.isAfter(server.incarnation)) {
        server = new ServerState(incarnation);
        servers.put(id, server);
      }
      return server.incarnation.equals(incarnation) ? server : null;
    }

    void recordSent(BackendServerId id, Incarnation incarnation, PrefixChain chain, long now) {
      ServerState server = stateForIncarnation(id, incarnation);
      if (server == null) {
        return;
      }
      for (BlockKey key : chain.keys()) {
        Entry belief = server.entries.get(key);
        boolean weak = belief == null || belief.source.equals("evicted");
        if (weak || server.confidence(belief, now) < Math.exp(-1)) {
          server.entries.put(key, new Entry("pending", now, server.gapCount));
        }
      }
    }

    void recordFailure(BackendServerId id, Incarnation incarnation, PrefixChain chain) {
      ServerState server = servers.get(id);
      if (server != null && server.incarnation.equals(incarnation)) {
        for (BlockKey key : chain.keys()) {
          server.entries.computeIfPresent(
              key, (known, belief) -> belief.source.equals("pending") ? null : belief);
        }
      }
    }

    void recordCachedChain(
        BackendServerId id, Incarnation incarnation, PrefixChain chain, int cached, long now) {
      ServerState server = stateForIncarnation(id, incarnation);
      if (server == null) {
        return;
      }
      for (int block = cached; block < chain.length(); block++) {
        Entry belief = server.entries.get(chain.key(block));
        if (belief != null && (belief.source.equals("own") || belief.source.equals("event"))) {
          server.latestMissedUseNanos = Math.max(server.latestMissedUseNanos, belief.usedNanos);
        }
      }
      for (BlockKey key : chain.keys()) {
        server.entries.put(key, new Entry("own", now, server.gapCount));
      }
    }

    void applyEvents(
        BackendServerId id, Incarnation incarnation, List<CacheEvent> events, long now) {
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
        Entry belief = server.entries.get(event.key());
        boolean believed = belief != null && server.confidence(belief, now) > 0;
        if (event.kind() == CacheEvent.Kind.STORED) {
          String kind = believed && belief.source.equals("own") ? "own" : "event";
          server.entries.put(event.key(), new Entry(kind, now, server.gapCount));
        } else if (believed) {
          server.entries.put(event.key(), new Entry("evicted", now, server.gapCount));
        }
      }
    }

    double expectedBlocks(PrefixChain chain, BackendServerId id, Incarnation life, long now) {
      ServerState server = servers.get(id);
      if (server == null || !server.incarnation.equals(life)) {
        return 0;
      }
      double sum = 0;
      for (int block = 0; block < chain.length(); block++) {
        if (server.isEvictedPrefixBlock(chain, block)) {
          return sum;
        }
        double best = 0;
        for (int later = block; later < chain.length(); later++) {
          Entry belief = server.entries.get(chain.key(later));
          boolean usable = belief != null && !belief.source.equals("evicted");
          if (usable && !server.isAnyPrefixBlockEvicted(chain, block, later)) {
            best = Math.max(best, server.confidence(belief, now));
          }
        }
        sum += best;
      }
      return sum;
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

      double confidence(Entry belief, long now) {
        double confidence = Math.exp(-(now - belief.usedNanos) / LIFETIME);
        if (belief.source.equals("event")) {
          confidence *= Math.pow(0.5, gapCount - belief.gapCount);
        }
        if (belief.source.equals("pending")) {
          confidence *= 0.95;
        }
        if (belief.usedNanos <= latestMissedUseNanos) {
          confidence *= 0.5;
        }
        return confidence < EvictionEstimator.MINIMUM_CONFIDENCE ? 0 : confidence;
      }

      /** True when this block was evicted and no later block was used after that. */
      boolean isEvictedPrefixBlock(PrefixChain chain, int block) {
        Entry belief = entries.get(chain.key(block));
        if (belief == null || !belief.source.equals("evicted")) {
          return false;
        }
        for (int later = block + 1; later < chain.length(); later++) {
          Entry deeper = entries.get(chain.key(later));
          boolean usable = deeper != null && !deeper.source.equals("evicted");
          if (usable && deeper.usedNanos > belief.usedNanos) {
            return false;
          }
        }
        return true;
      }

      /** True when a block in between was cut, so that the later one says nothing. */
      boolean isAnyPrefixBlockEvicted(PrefixChain chain, int from, int later) {
        for (int between = from; between < later; between++) {
          if (isEvictedPrefixBlock(chain, between)) {
            return true;
          }
        }
        return false;
      }
    }
  }
}

package org.pollenrock.core.cache;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.cache.CacheFixture.FIRST_INCARNATION;
import static org.pollenrock.core.cache.CacheFixture.NANOS_PER_SECOND;
import static org.pollenrock.core.cache.CacheFixture.SECOND_INCARNATION;
import static org.pollenrock.core.cache.CacheFixture.SERVER;
import static org.pollenrock.core.cache.CacheFixture.chain;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PrefixChain;

class CacheIndexTest {
  private static final double TOLERANCE = 1e-9;

  private final CacheIndex index = new CacheIndex(1_000, 10);
  private final PrefixChain chain = chain("c", 1, 2, 4);

  private double expectedBlocks(PrefixChain asked, Incarnation incarnation, long nowNanos) {
    return index.expectedBlocks(index.lookup(asked), SERVER, incarnation, nowNanos);
  }

  private static List<CacheEvent> eventsForChain(
      CacheEvent.Kind kind, long first, PrefixChain chain) {
    List<CacheEvent> events = new ArrayList<>();
    for (int block = 0; block < chain.length(); block++) {
      events.add(new CacheEvent(first + block, kind, chain.key(block)));
    }
    return events;
  }

  /** Guards against reliance on the cache of an engine that crashed. */
  @Test
  void newerIncarnationDropsKnowledgeAndOlderIsIgnored() {
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
    assertThat(expectedBlocks(chain, SECOND_INCARNATION, 0)).isZero();
    assertThat(index.observeIncarnation(SERVER, SECOND_INCARNATION)).isTrue();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 4, 0);
    assertThat(
            index.applyEvents(
                SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 1, chain), 0))
        .isFalse();
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isZero();
    assertThat(expectedBlocks(chain, SECOND_INCARNATION, 0)).isZero();
    assertThat(index.entryCount()).isZero();
  }

  /** Guards against a belief that outlives the measured block lifetime, or starts too low. */
  @Test
  void confidenceDecaysWithTheMeasuredLifetimeAndReuseRefreshesIt() {
    index.applyReport(SERVER, FIRST_INCARNATION, 100, 20);
    assertThat(index.lifetimeNanos(SERVER)).isEqualTo(5.0 * NANOS_PER_SECOND);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 5 * NANOS_PER_SECOND))
        .isCloseTo(4 * Math.exp(-1), within(TOLERANCE));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 16 * NANOS_PER_SECOND)).isZero();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 4, 5 * NANOS_PER_SECOND);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 5 * NANOS_PER_SECOND)).isEqualTo(4);
  }

  /** Guards against trust in events around a gap, and against doubt about own observations. */
  @Test
  void gapHalvesOnlyEventBasedEntriesAndOwnResponseRestoresThem() {
    PrefixChain own = chain("c", 2, 0, 3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, own, 0, 0);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 1, chain), 0);
    CacheEvent later = new CacheEvent(9, CacheEvent.Kind.STORED, chain("c", 3, 0, 1).key(0));
    index.applyEvents(SERVER, FIRST_INCARNATION, List.of(later), 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isCloseTo(2, within(TOLERANCE));
    assertThat(expectedBlocks(own, FIRST_INCARNATION, 0)).isEqualTo(3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 4, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /**
   * Guards against suspect entries that stay suspect although a digest confirms or refutes them.
   */
  @Test
  void digestRepairsSuspectEntries() {
    PrefixChain evicted = chain("c", 2, 0, 3);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 1, chain), 0);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 9, evicted), 0);
    assertThat(index.applyDigest(SERVER, FIRST_INCARNATION, 10, chain.keys(), 0)).isFalse();
    assertThat(index.applyDigest(SERVER, FIRST_INCARNATION, 20, chain.keys(), 0)).isTrue();
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
    assertThat(expectedBlocks(evicted, FIRST_INCARNATION, 0)).isZero();
  }

  /** Guards against blocks counted as usable although an earlier block of the chain was evicted. */
  @Test
  void evictionOfAnEarlierBlockMakesLaterBlocksUnusable() {
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    CacheEvent evicted = new CacheEvent(5, CacheEvent.Kind.EVICTED, chain.key(1));
    index.applyEvents(SERVER, FIRST_INCARNATION, List.of(evicted), 1);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 1)).isCloseTo(1, within(1e-6));
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 1, 2);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 2)).isEqualTo(4);
  }

  /** Guards against a router that saw only the event of the last block expecting a full miss. */
  @Test
  void laterBlockImpliesTheBlocksBeforeIt() {
    CacheEvent last = new CacheEvent(5, CacheEvent.Kind.STORED, chain.key(3));
    index.applyEvents(SERVER, FIRST_INCARNATION, List.of(last), 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /**
   * Guards against belief that decays although the server announces evictions, and against belief
   * that does not decay after a gap or after the events of the server can no longer be read.
   */
  @Test
  void caughtUpEventsKeepConfidenceUntilAnEvictionOrAGap() {
    long later = 3 * EvictionEstimator.DEFAULT_LIFETIME_NANOS;
    index.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        List.of(new CacheEvent(1, CacheEvent.Kind.STORED, chain.key(3))),
        0);
    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, later);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, later)).isEqualTo(4);

    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 2 * later)).isZero();

    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, 2 * later);
    index.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        List.of(new CacheEvent(9, CacheEvent.Kind.STORED, new BlockKey(1, 1))),
        later);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 2 * later)).isZero();
  }

  /** Guards against a page of a former life that confirms the blocks of the present one. */
  @Test
  void eventsOfAnotherIncarnationDoNotConfirmEntries() {
    long later = 3 * EvictionEstimator.DEFAULT_LIFETIME_NANOS;
    index.recordCachedChain(SERVER, new Incarnation(2), chain, 4, 0);
    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, later);
    assertThat(expectedBlocks(chain, new Incarnation(2), later)).isZero();
  }

  /** Guards against a request in flight counting for nothing, or for more after it failed. */
  @Test
  void sentRequestCountsUntilItFails() {
    index.recordSent(SERVER, FIRST_INCARNATION, chain, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isCloseTo(4 * 0.95, within(TOLERANCE));
    index.recordFailure(SERVER, FIRST_INCARNATION, chain);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isZero();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    index.recordSent(SERVER, FIRST_INCARNATION, chain, 1);
    index.recordFailure(SERVER, FIRST_INCARNATION, chain);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 1)).isGreaterThan(3.9);
  }

  /** Guards against full trust in blocks that are older than one that was found evicted. */
  @Test
  void unexpectedMissHalvesConfidenceOfOlderEntries() {
    PrefixChain older = chain("c", 2, 0, 3);
    PrefixChain newer = chain("c", 3, 0, 3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, older, 0, 0);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 1);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, newer, 0, 2);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 3);
    assertThat(expectedBlocks(older, FIRST_INCARNATION, 3)).isCloseTo(1.5, within(1e-6));
    assertThat(expectedBlocks(newer, FIRST_INCARNATION, 3)).isCloseTo(3, within(1e-6));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 3)).isEqualTo(4);
  }

  /** Guards against reliance on blocks that were computed under older weights. */
  @Test
  void retainWeightsDropsBlocksOfOtherVersions() {
    PrefixChain newer = chain("c", "v2", 1, 2, 4);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThat(expectedBlocks(newer, FIRST_INCARNATION, 0)).isZero();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, newer, 0, 0);
    index.retainWeights(SERVER, new ModelId("m"), Set.of(new WeightsVersion("v2")));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isZero();
    assertThat(expectedBlocks(newer, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /** Guards against a flood of one customer that pushes another's hot prefixes out of the index. */
  @Test
  void customerKeepsItsFloorWhenAnotherCustomerFillsTheIndex() {
    CacheIndex small = new CacheIndex(100, 10);
    PrefixChain quiet = chain("quiet", 0, 0, 10);
    small.recordCachedChain(SERVER, FIRST_INCARNATION, quiet, 0, 0);
    for (int prompt = 0; prompt < 50; prompt++) {
      small.recordCachedChain(
          SERVER, FIRST_INCARNATION, chain("loud", prompt, 0, 8), 0, prompt + 1);
    }
    assertThat(small.entryCount()).isEqualTo(100);
    assertThat(small.entryCount(new CustomerId("quiet"))).isEqualTo(10);
    assertThat(small.expectedBlocks(small.lookup(quiet), SERVER, FIRST_INCARNATION, 60))
        .isGreaterThan(9.9);
  }

  /** Guards against events about blocks that nobody asks for replacing what requests need. */
  @Test
  void eventsOfUnknownBlocksNeverEvictACustomersEntries() {
    CacheIndex small = new CacheIndex(16, 0);
    small.recordCachedChain(SERVER, FIRST_INCARNATION, chain("c", 1, 0, 12), 0, 0);
    small.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        eventsForChain(CacheEvent.Kind.STORED, 1, chain("other", 7, 0, 40)),
        1);
    assertThat(small.entryCount(new CustomerId("c"))).isEqualTo(12);
    assertThat(small.entryCount()).isEqualTo(16);
  }

  /** Guards against holders that are missing, repeated or beyond the limit. */
  @Test
  void holdersStartWithTheDeepestBlocks() {
    PrefixChain sibling = chain("c", 2, 2, 4);
    index.recordCachedChain(new BackendServerId("shallow"), FIRST_INCARNATION, sibling, 0, 0);
    index.recordCachedChain(new BackendServerId("deep"), FIRST_INCARNATION, chain, 0, 0);
    index.recordCachedChain(
        new BackendServerId("none"), FIRST_INCARNATION, chain("c", 9, 0, 4), 0, 0);
    assertThat(index.holders(index.lookup(chain), 8, 0))
        .containsExactly(new BackendServerId("deep"), new BackendServerId("shallow"));
    assertThat(index.holders(index.lookup(chain), 1, 0))
        .containsExactly(new BackendServerId("deep"));
  }

  /** Guards against a lookup whose positions point at other blocks after a change. */
  @Test
  void lookupIsRejectedAfterAChange() {
    ChainLookup lookup = index.lookup(chain);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThatThrownBy(() -> index.expectedBlocks(lookup, SERVER, FIRST_INCARNATION, 0))
        .isInstanceOf(IllegalStateException.class);
  }
}

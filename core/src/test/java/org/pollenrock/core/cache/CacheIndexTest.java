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

  private double expectedBlocks(
      PrefixChain requestedChain, Incarnation incarnation, long nowNanos) {
    return index.expectedBlocks(index.lookup(requestedChain), SERVER, incarnation, nowNanos);
  }

  private static List<CacheEvent> eventsForChain(
      CacheEvent.Kind kind, long firstSequence, PrefixChain chain) {
    List<CacheEvent> events = new ArrayList<>();
    for (int block = 0; block < chain.length(); block++) {
      events.add(new CacheEvent(firstSequence + block, kind, chain.key(block)));
    }
    return events;
  }

  /** Guards against entries that are still used after the engine restarted with an empty cache. */
  @Test
  void newerIncarnationRemovesEntriesAndOlderIsIgnored() {
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

  /**
   * Guards against a confidence that does not decay with the reported block lifetime, or that does
   * not return to 1 when the blocks are used again.
   */
  @Test
  void confidenceDecaysWithReportedLifetimeAndReuseRestoresIt() {
    index.applyReport(SERVER, FIRST_INCARNATION, 100, 20);
    assertThat(index.lifetimeNanos(SERVER)).isEqualTo(5.0 * NANOS_PER_SECOND);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 5 * NANOS_PER_SECOND))
        .isCloseTo(4 * Math.exp(-1), within(TOLERANCE));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 16 * NANOS_PER_SECOND)).isZero();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 4, 5 * NANOS_PER_SECOND);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 5 * NANOS_PER_SECOND)).isEqualTo(4);
  }

  /**
   * Guards against full confidence in entries that were learned from events before a gap, and
   * against a gap that lowers the confidence of entries that rest on responses.
   */
  @Test
  void gapHalvesOnlyEventBasedEntriesAndOwnResponseRestoresThem() {
    PrefixChain ownChain = chain("c", 2, 0, 3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, ownChain, 0, 0);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 1, chain), 0);
    CacheEvent eventAfterGap =
        new CacheEvent(9, CacheEvent.Kind.STORED, chain("c", 3, 0, 1).key(0));
    index.applyEvents(SERVER, FIRST_INCARNATION, List.of(eventAfterGap), 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isCloseTo(2, within(TOLERANCE));
    assertThat(expectedBlocks(ownChain, FIRST_INCARNATION, 0)).isEqualTo(3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 4, 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /**
   * Guards against entries that stay suspect after a digest that confirms or refutes them, and
   * against an outdated digest that is applied.
   */
  @Test
  void digestConfirmsOrRemovesSuspectEntries() {
    PrefixChain evictedChain = chain("c", 2, 0, 3);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 1, chain), 0);
    index.applyEvents(
        SERVER, FIRST_INCARNATION, eventsForChain(CacheEvent.Kind.STORED, 9, evictedChain), 0);
    assertThat(index.applyDigest(SERVER, FIRST_INCARNATION, 10, chain.keys(), 0)).isFalse();
    assertThat(index.applyDigest(SERVER, FIRST_INCARNATION, 20, chain.keys(), 0)).isTrue();
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
    assertThat(expectedBlocks(evictedChain, FIRST_INCARNATION, 0)).isZero();
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

  /**
   * Guards against an expected miss of the whole chain when only the event of its last block was
   * received.
   */
  @Test
  void laterBlockImpliesTheBlocksBeforeIt() {
    CacheEvent last = new CacheEvent(5, CacheEvent.Kind.STORED, chain.key(3));
    index.applyEvents(SERVER, FIRST_INCARNATION, List.of(last), 0);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /**
   * Guards against a confidence that decays although all events of the server are applied and no
   * eviction was reported, and against a confidence that does not decay after a gap or when the
   * events of the server can no longer be read.
   */
  @Test
  void caughtUpEventsKeepConfidenceUntilAnEvictionOrAGap() {
    long laterNanos = 3 * EvictionEstimator.DEFAULT_LIFETIME_NANOS;
    index.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        List.of(new CacheEvent(1, CacheEvent.Kind.STORED, chain.key(3))),
        0);
    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, laterNanos);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, laterNanos)).isEqualTo(4);

    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 2 * laterNanos)).isZero();

    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, 2 * laterNanos);
    index.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        List.of(new CacheEvent(9, CacheEvent.Kind.STORED, new BlockKey(1, 1))),
        laterNanos);
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 2 * laterNanos)).isZero();
  }

  /**
   * Guards against events of an older incarnation that confirm the blocks of the current
   * incarnation.
   */
  @Test
  void eventsOfAnotherIncarnationDoNotConfirmEntries() {
    long laterNanos = 3 * EvictionEstimator.DEFAULT_LIFETIME_NANOS;
    index.recordCachedChain(SERVER, new Incarnation(2), chain, 4, 0);
    index.markEventsCaughtUp(SERVER, FIRST_INCARNATION, laterNanos);
    assertThat(expectedBlocks(chain, new Incarnation(2), laterNanos)).isZero();
  }

  /**
   * Guards against a request in flight that does not count as cached, and against one that still
   * counts, or that removes confirmed entries, after it failed.
   */
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

  /**
   * Guards against full confidence in blocks that were last used before a block that turned out to
   * be evicted.
   */
  @Test
  void unexpectedMissHalvesConfidenceOfOlderEntries() {
    PrefixChain olderChain = chain("c", 2, 0, 3);
    PrefixChain newerChain = chain("c", 3, 0, 3);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, olderChain, 0, 0);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 1);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, newerChain, 0, 2);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 3);
    assertThat(expectedBlocks(olderChain, FIRST_INCARNATION, 3)).isCloseTo(1.5, within(1e-6));
    assertThat(expectedBlocks(newerChain, FIRST_INCARNATION, 3)).isCloseTo(3, within(1e-6));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 3)).isEqualTo(4);
  }

  /** Guards against the use of blocks that were computed under older weights. */
  @Test
  void retainWeightsDropsBlocksOfOtherVersions() {
    PrefixChain newerChain = chain("c", "v2", 1, 2, 4);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThat(expectedBlocks(newerChain, FIRST_INCARNATION, 0)).isZero();
    index.recordCachedChain(SERVER, FIRST_INCARNATION, newerChain, 0, 0);
    index.retainWeights(SERVER, new ModelId("m"), Set.of(new WeightsVersion("v2")));
    assertThat(expectedBlocks(chain, FIRST_INCARNATION, 0)).isZero();
    assertThat(expectedBlocks(newerChain, FIRST_INCARNATION, 0)).isEqualTo(4);
  }

  /**
   * Guards against a customer with many prefixes whose entries evict the prefixes of another
   * customer from the index.
   */
  @Test
  void customerKeepsItsFloorWhenAnotherCustomerFillsTheIndex() {
    CacheIndex smallIndex = new CacheIndex(100, 10);
    PrefixChain quietChain = chain("quiet", 0, 0, 10);
    smallIndex.recordCachedChain(SERVER, FIRST_INCARNATION, quietChain, 0, 0);
    for (int prompt = 0; prompt < 50; prompt++) {
      smallIndex.recordCachedChain(
          SERVER, FIRST_INCARNATION, chain("loud", prompt, 0, 8), 0, prompt + 1);
    }
    assertThat(smallIndex.entryCount()).isEqualTo(100);
    assertThat(smallIndex.entryCount(new CustomerId("quiet"))).isEqualTo(10);
    assertThat(
            smallIndex.expectedBlocks(smallIndex.lookup(quietChain), SERVER, FIRST_INCARNATION, 60))
        .isGreaterThan(9.9);
  }

  /**
   * Guards against cache events of blocks that no request has used and that evict entries of
   * requested blocks.
   */
  @Test
  void eventsOfUnrequestedBlocksNeverEvictEntriesOfACustomer() {
    CacheIndex smallIndex = new CacheIndex(16, 0);
    smallIndex.recordCachedChain(SERVER, FIRST_INCARNATION, chain("c", 1, 0, 12), 0, 0);
    smallIndex.applyEvents(
        SERVER,
        FIRST_INCARNATION,
        eventsForChain(CacheEvent.Kind.STORED, 1, chain("other", 7, 0, 40)),
        1);
    assertThat(smallIndex.entryCount(new CustomerId("c"))).isEqualTo(12);
    assertThat(smallIndex.entryCount()).isEqualTo(16);
  }

  /** Guards against holders that are missing, repeated, in the wrong order or above the limit. */
  @Test
  void holdersAreOrderedByDeepestBlock() {
    PrefixChain siblingChain = chain("c", 2, 2, 4);
    index.recordCachedChain(new BackendServerId("shallow"), FIRST_INCARNATION, siblingChain, 0, 0);
    index.recordCachedChain(new BackendServerId("deep"), FIRST_INCARNATION, chain, 0, 0);
    index.recordCachedChain(
        new BackendServerId("none"), FIRST_INCARNATION, chain("c", 9, 0, 4), 0, 0);
    assertThat(index.holders(index.lookup(chain), 8, 0))
        .containsExactly(new BackendServerId("deep"), new BackendServerId("shallow"));
    assertThat(index.holders(index.lookup(chain), 1, 0))
        .containsExactly(new BackendServerId("deep"));
  }

  /** Guards against an outdated lookup whose slots refer to other blocks after a change. */
  @Test
  void lookupIsRejectedAfterAChange() {
    ChainLookup lookup = index.lookup(chain);
    index.recordCachedChain(SERVER, FIRST_INCARNATION, chain, 0, 0);
    assertThatThrownBy(() -> index.expectedBlocks(lookup, SERVER, FIRST_INCARNATION, 0))
        .isInstanceOf(IllegalStateException.class);
  }
}

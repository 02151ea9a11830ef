package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.InstanceId;

class HotPrefixTrackerTest {
  private static final BlockKey HOT = new BlockKey(1, 1);

  private final HotPrefixTracker tracker = new HotPrefixTracker(4);

  private void observe(double perSecond, long fromNanos, long toNanos) {
    for (long now = fromNanos; now < toNanos; now += (long) (SECOND / perSecond)) {
      tracker.observe(HOT, now);
    }
  }

  /**
   * Guards against a rate that does not follow the traffic or does not halve within a half-life.
   */
  @Test
  void rateFollowsTheTrafficAndDecays() {
    observe(20, 0, 20 * SECOND);
    double steady = tracker.rate(HOT, 20 * SECOND);
    assertThat(steady).isCloseTo(20, within(1.0));
    assertThat(tracker.rate(HOT, 22 * SECOND)).isCloseTo(steady / 2, within(0.3));
    assertThat(tracker.rate(HOT, 60 * SECOND)).isLessThan(0.001);
  }

  /** Guards against a number of homes that does not grow under load or does not shrink after it. */
  @Test
  void homesGrowWithTheRateAndShrinkAgain() {
    observe(20, 0, 20 * SECOND);
    double hot = tracker.rate(HOT, 20 * SECOND);
    double decayed = tracker.rate(HOT, 32 * SECOND);
    assertThat(HotPrefixTracker.homeCount(hot, 0.1, 0.5, 13)).isBetween(4, 5);
    assertThat(HotPrefixTracker.homeCount(hot, 0.1, 0.5, 3)).isEqualTo(3);
    assertThat(HotPrefixTracker.homeCount(decayed, 0.1, 0.5, 13)).isEqualTo(1);
    assertThat(HotPrefixTracker.homeCount(0, 0.1, 0.5, 13)).isEqualTo(1);
  }

  /**
   * Guards against a new router that treats a hot prefix as a cold reportedRate, and against rates
   * of peers that are out of date or gone.
   */
  @Test
  void ratesOfPeersCountUntilTheyAreReplacedOrRemoved() {
    HotPrefixTracker peer = new HotPrefixTracker(4);
    for (int request = 0; request < 100; request++) {
      peer.observe(HOT, request * 50 * MILLI);
      peer.observe(new BlockKey(3, 3), request / 2 * 100 * MILLI);
    }
    List<HotPrefix> reported = peer.hottest(1, 5 * SECOND);
    assertThat(reported).extracting(HotPrefix::level).containsExactly(HOT);
    InstanceId first = new InstanceId("r1");
    InstanceId second = new InstanceId("r2");
    tracker.updatePeer(first, reported);
    tracker.updatePeer(second, reported);
    tracker.updatePeer(second, reported);
    double reportedRate = reported.get(0).ratePerSecond();
    assertThat(tracker.totalRate(HOT, 3, 0)).isCloseTo(2 * reportedRate, within(1e-9));
    tracker.removePeer(first);
    assertThat(tracker.totalRate(HOT, 3, 0)).isCloseTo(reportedRate, within(1e-9));
    tracker.updatePeer(second, List.of());
    assertThat(tracker.totalRate(HOT, 3, 0)).isZero();
  }

  /** Guards against unbounded memory, and against rare levels that evict a hot one. */
  @Test
  void rareLevelsAreDroppedFirst() {
    for (int level = 0; level < 100; level++) {
      tracker.observe(HOT, level * MILLI);
      tracker.observe(new BlockKey(2, level), level * MILLI);
    }
    assertThat(tracker.size()).isEqualTo(4);
    assertThat(tracker.rate(HOT, 100 * MILLI)).isGreaterThan(30);
  }

  /** Guards against ordinary traffic that is treated as long-tail traffic. */
  @Test
  void onlyALevelWithNearlyAllNewPrefixesUncachedHasAColdTail() {
    tracker.observe(HOT, 0);
    for (int miss = 0; miss < 40; miss++) {
      tracker.recordOutcome(HOT, false);
    }
    assertThat(tracker.hasColdTail(HOT)).isTrue();
    tracker.recordOutcome(HOT, true);
    tracker.recordOutcome(HOT, true);
    assertThat(tracker.hasColdTail(HOT)).isFalse();
  }
}

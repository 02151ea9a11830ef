package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against load estimates that drift and against servers that are avoided permanently. */
class BackendTest {
  private static final long MILLI = 1_000_000L;

  private final Backend backend =
      new Backend(
          new ListedBackend("a", 1, "v1", "s", "10.0.0.1", 80, "dc", 8, true, Map.of("m", 1L)), 0);

  @Test
  void loadIsOwnRequestsPlusDecayingReportedLoad() {
    backend.recordRequestStart(100, 0);
    backend.recordLoad(new LoadReport(4, 1, 8), 0);
    assertThat(backend.load(0)).isEqualTo(5);
    assertThat(backend.load(LoadEstimate.HALF_LIFE_NANOS)).isCloseTo(3, within(0.001));
    backend.recordRequestEnd(100, false);
    assertThat(backend.load(Long.MAX_VALUE / 4)).isCloseTo(0, within(0.001));
  }

  @Test
  void tokensCountAsUnreadUntilTheResponseStarts() {
    backend.recordRequestStart(1000, 0);
    backend.recordRequestStart(500, 0);
    backend.recordResponseStart(1000);
    assertThat(backend.unreadTokens(0, 0)).isEqualTo(500);
    backend.recordRequestEnd(1000, true);
    backend.recordRequestEnd(500, false);
    assertThat(backend.unreadTokens(0, 0)).isZero();
    assertThat(backend.inFlightCount()).isZero();
  }

  @Test
  void silenceCountsOnlyWhileARequestIsOutstanding() {
    assertThat(backend.silentNanos(900 * MILLI)).isZero();
    backend.recordRequestStart(0, 900 * MILLI);
    assertThat(backend.silentNanos(1_000 * MILLI)).isEqualTo(100 * MILLI);
    backend.recordReceived(1_050 * MILLI);
    assertThat(backend.silentNanos(1_100 * MILLI)).isEqualTo(50 * MILLI);
    backend.recordRequestEnd(0, false);
    assertThat(backend.silentNanos(2_000 * MILLI)).isZero();
  }

  /**
   * A server sends nothing while it reads a long prompt or loads weights, and must not count as
   * silent meanwhile.
   */
  @Test
  void readingAPromptAndLoadingWeightsDoNotCountAsSilence() {
    backend.recordRequestStart(50_000, 0);
    assertThat(backend.silentNanos(1_000 * MILLI)).isZero();
    assertThat(backend.silentNanos(1_500 * MILLI)).isEqualTo(500 * MILLI);
    backend.recordResponseStart(50_000);
    backend.loadingPause().begin(1_500 * MILLI);
    assertThat(backend.silentNanos(1_900 * MILLI)).isZero();
    assertThat(backend.silentNanos(2_050 * MILLI)).isEqualTo(100 * MILLI);
  }

  /**
   * With many instances, the requests of one instance are a small part of a server's load, so work
   * reported by peers has to count until the reports expire.
   */
  @Test
  void workOfPeersCountsUntilTheirReportsExpire() {
    backend.recordRequestStart(100, 0);
    backend.applyPeerWork(1, 3, 5_000, 0);
    backend.applyPeerWork(2, 1, 1_000, 0);
    backend.applyPeerWork(1, 2, 4_000, 500 * MILLI);
    assertThat(backend.load(500 * MILLI)).isEqualTo(4);
    assertThat(backend.unreadTokens(0, 500 * MILLI)).isEqualTo(5_100);
    backend.expirePeerReports(1_200 * MILLI);
    assertThat(backend.unreadTokens(0, 1_200 * MILLI)).isEqualTo(4_100);
    backend.applyPeerWork(1, 0, 0, 1_300 * MILLI);
    assertThat(backend.load(1_300 * MILLI)).isEqualTo(1);
  }

  /**
   * A refusal received while an engine loads weights must not end the tolerance for its silence.
   */
  @Test
  void silenceIsToleratedAfterARefusalDuringLoading() {
    backend.recordRequestStart(0, 0);
    backend.loadingPause().begin(0);
    backend.recordReceived(100 * MILLI);
    assertThat(backend.silentNanos(440 * MILLI)).isZero();
    assertThat(backend.silentNanos(500 * MILLI)).isEqualTo(50 * MILLI);
  }

  @Test
  void probesBackOffAndEndWhenBytesAreReceived() {
    backend.recordUnreachable(0);
    assertThat(backend.isMissing()).isTrue();
    assertThat(backend.isProbeDue(249 * MILLI)).isFalse();
    assertThat(backend.isProbeDue(250 * MILLI)).isTrue();
    backend.probes().recordProbeSent(1_250 * MILLI);
    assertThat(backend.isProbeDue(1_200 * MILLI)).isFalse();
    backend.recordUnreachable(1_250 * MILLI);
    assertThat(backend.isProbeDue(1_700 * MILLI)).isFalse();
    assertThat(backend.isProbeDue(1_750 * MILLI)).isTrue();
    backend.recordReceived(1_800 * MILLI);
    assertThat(backend.isMissing()).isFalse();
    backend.recordUnreachable(2_000 * MILLI);
    assertThat(backend.isProbeDue(2_251 * MILLI)).isTrue();
  }

  /** A server that responds to this instance is not missing because a peer cannot reach it. */
  @Test
  void recentlyReceivedBytesOverrideAPeerReport() {
    backend.recordReceived(1_000 * MILLI);
    backend.applyPeerMissing(1_200 * MILLI);
    assertThat(backend.isMissing()).isFalse();
    backend.applyPeerMissing(1_400 * MILLI);
    assertThat(backend.isMissing()).isTrue();
    backend.markReachable();
    assertThat(backend.isMissing()).isFalse();
  }

  /**
   * An instance that wrongly reports live servers missing must not block them at peers for long.
   */
  @Test
  void firstPeerReportMakesAProbeDueImmediately() {
    backend.applyPeerMissing(1_000 * MILLI);
    assertThat(backend.isProbeDue(1_000 * MILLI)).isTrue();
    backend.applyPeerMissing(1_010 * MILLI);
    assertThat(backend.isProbeDue(1_010 * MILLI)).isFalse();
    assertThat(backend.isProbeDue(1_260 * MILLI)).isTrue();
  }

  /** Load pattern: all instances of a data centre probe a server that lets probes wait. */
  @Test
  void probeOfAnotherInstanceDelaysTheOwnOne() {
    for (int failures = 0; failures < 4; failures++) {
      backend.recordUnreachable(0);
    }
    backend.probes().applyPeerProbe(1_950 * MILLI);
    assertThat(backend.isProbeDue(2_900 * MILLI)).isFalse();
    assertThat(backend.isProbeDue(2_950 * MILLI)).isTrue();
  }

  /** A wrong report must not block a live server for long if the probe gets no response either. */
  @Test
  void probeOfAnotherInstanceDelaysTheFirstOwnOneLittle() {
    backend.applyPeerMissing(1_000 * MILLI);
    backend.probes().applyPeerProbe(1_000 * MILLI);
    assertThat(backend.isProbeDue(1_249 * MILLI)).isFalse();
    assertThat(backend.isProbeDue(1_250 * MILLI)).isTrue();
    backend.markReachable();
    backend.probes().applyPeerProbe(1_300 * MILLI);
    assertThat(backend.isMissing()).isFalse();
  }

  /**
   * With many instances, each one sends too few requests to a server to measure its failure rate,
   * so outcomes of peers have to count.
   */
  @Test
  void outcomesOfPeersCountLikeOwnOutcomes() {
    Backend other = new Backend(backend.entry(), 0);
    for (int i = 0; i < 10; i++) {
      backend.recordOutcome(false, 0);
    }
    other.applyPeerOutcomes(0, 10, 0);
    assertThat(other.failureRate(0)).isCloseTo(backend.failureRate(0), within(0.001));
    other.applyPeerOutcomes(30, 0, 0);
    assertThat(other.failureRate(0)).isLessThan(0.1);
  }

  @Test
  void failureRateDecaysWithoutNewOutcomes() {
    for (int i = 0; i < 30; i++) {
      backend.recordOutcome(false, 0);
    }
    assertThat(backend.failureRate(0)).isGreaterThan(0.9);
    assertThat(backend.failureRate(6_000 * MILLI)).isLessThan(0.2);
  }

  @Test
  void newerWeightsEndTheLoadingPause() {
    backend.loadingPause().begin(0);
    assertThat(backend.isPaused(100 * MILLI)).isTrue();
    backend.recordWeightsVersion("m", 2);
    assertThat(backend.isPaused(100 * MILLI)).isFalse();
  }
}

package org.pollenrock.core.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost in connections which no longer deliver data. */
class ConnectionMonitorTest {
  private static final long MS = 1_000_000L;
  private static final ConnectionSettings SETTINGS =
      new ConnectionSettings(true, 1_000 * MS, 300 * MS, 100 * MS, 500 * MS, 20 * MS);
  private static final ConnectionId OLD = new ConnectionId(1);
  private static final ConnectionId IDLE = new ConnectionId(2);
  private static final ConnectionId YOUNG = new ConnectionId(3);

  private final ConnectionMonitor monitor = new ConnectionMonitor(SETTINGS);

  private static ConnectionAction close(ConnectionId connection, CloseReason reason) {
    return new ConnectionAction.Close(connection, reason);
  }

  @Test
  void missedDeadlineProbesAndSuccessClosesOlderIdleConnections() {
    monitor.opened(OLD, 0);
    monitor.opened(IDLE, 0);
    monitor.exchangeStarted(OLD, 50 * MS, 10 * MS, 0);
    assertThat(monitor.tick(50 * MS)).isEmpty();
    monitor.received(OLD, 50 * MS);
    assertThat(monitor.tick(60 * MS)).isEmpty();
    assertThat(monitor.tick(61 * MS))
        .containsExactly(
            close(OLD, CloseReason.RECEIVE_SILENCE),
            new ConnectionAction.MarkSuspect(IDLE),
            new ConnectionAction.Probe(1));
    assertThat(monitor.state(IDLE)).isEqualTo(ConnectionState.SUSPECT);
    assertThat(monitor.canCarry(IDLE)).isFalse();
    monitor.opened(YOUNG, 62 * MS);
    assertThat(monitor.probeSucceeded(1, 70 * MS))
        .containsExactly(close(IDLE, CloseReason.OLDER_THAN_PROBE));
    assertThat(monitor.canCarry(YOUNG)).isTrue();
    assertThat(monitor.serverSuspect()).isFalse();
  }

  @Test
  void failedProbeSuspectsTheServerUntilALaterOneSucceeds() {
    monitor.opened(OLD, 0);
    monitor.opened(IDLE, 0);
    monitor.exchangeStarted(OLD, 10 * MS, 10 * MS, 0);
    monitor.tick(20 * MS);
    assertThat(monitor.tick(121 * MS))
        .containsExactly(
            close(IDLE, CloseReason.SERVER_SUSPECT), new ConnectionAction.SuspectServer());
    assertThat(monitor.probeSucceeded(1, 130 * MS)).isEmpty();
    assertThat(monitor.tick(620 * MS)).isEmpty();
    assertThat(monitor.tick(621 * MS)).containsExactly(new ConnectionAction.Probe(2));
    assertThat(monitor.probeFailed(2, 630 * MS)).isEmpty();
    assertThat(monitor.tick(1_130 * MS)).containsExactly(new ConnectionAction.Probe(3));
    assertThat(monitor.probeSucceeded(3, 1_140 * MS))
        .containsExactly(new ConnectionAction.TrustServer());
  }

  @Test
  void peerThatTakesNoDataIsSilentTooAndIsNotBlamedForItsAnswer() {
    monitor.opened(OLD, 0);
    monitor.exchangeStarted(OLD, 50 * MS, 50 * MS, 0);
    monitor.writeWaits(OLD, 0);
    assertThat(monitor.tick(250 * MS)).isEmpty();
    monitor.writeProgressed(OLD, false, 260 * MS);
    assertThat(monitor.tick(560 * MS)).isEmpty();
    assertThat(monitor.tick(561 * MS)).contains(close(OLD, CloseReason.SEND_SILENCE));
    monitor.probeSucceeded(1, 570 * MS);
    monitor.opened(IDLE, 600 * MS);
    monitor.exchangeStarted(IDLE, 50 * MS, 50 * MS, 600 * MS);
    monitor.writeWaits(IDLE, 600 * MS);
    monitor.writeProgressed(IDLE, true, 640 * MS);
    assertThat(monitor.tick(690 * MS)).isEmpty();
    assertThat(monitor.tick(691 * MS)).contains(close(IDLE, CloseReason.RECEIVE_SILENCE));
  }

  @Test
  void ownWritesDoNotHideAPeerThatNoLongerSends() {
    monitor.opened(OLD, 0);
    monitor.exchangeStarted(OLD, 1_500 * MS, 1_500 * MS, 0);
    monitor.received(OLD, 100 * MS);
    for (long at = 500; at <= 1_500; at += 500) {
      monitor.writeWaits(OLD, at * MS);
      monitor.writeProgressed(OLD, true, (at + 1) * MS);
      assertThat(monitor.tick((at + 1) * MS)).isEmpty();
    }
    assertThat(monitor.tick(1_601 * MS)).contains(close(OLD, CloseReason.RECEIVE_SILENCE));
  }

  @Test
  void nonIdempotentCallsNeedAConnectionProvenRecently() {
    monitor.opened(OLD, 0);
    assertThat(monitor.canCarryNonIdempotent(OLD, 1_000 * MS)).isTrue();
    assertThat(monitor.canCarryNonIdempotent(OLD, 1_000 * MS + 1)).isFalse();
    assertThat(monitor.canCarry(OLD)).isTrue();
    monitor.exchangeStarted(OLD, 50 * MS, 50 * MS, 2_000 * MS);
    assertThat(monitor.canCarryNonIdempotent(OLD, 2_000 * MS)).isFalse();
    monitor.exchangeFinished(OLD, 2_010 * MS);
    assertThat(monitor.canCarryNonIdempotent(OLD, 3_010 * MS)).isTrue();
    assertThat(monitor.canCarryNonIdempotent(IDLE, 0)).isFalse();
  }

  @Test
  void connectionWithAnAbortedExchangeOrUnsolicitedDataIsNeverReused() {
    monitor.opened(OLD, 0);
    monitor.opened(IDLE, 0);
    monitor.exchangeStarted(OLD, 50 * MS, 50 * MS, 0);
    assertThat(monitor.exchangeAborted(OLD))
        .containsExactly(close(OLD, CloseReason.EXCHANGE_ABORTED));
    assertThatThrownBy(() -> monitor.exchangeStarted(OLD, MS, MS, 0))
        .isInstanceOf(IllegalArgumentException.class);
    assertThat(monitor.received(IDLE, 1))
        .containsExactly(close(IDLE, CloseReason.UNSOLICITED_DATA));
    assertThat(monitor.received(IDLE, 2)).isEmpty();
    monitor.opened(YOUNG, 2);
    monitor.exchangeStarted(YOUNG, 50 * MS, 50 * MS, 2);
    monitor.writeWaits(YOUNG, 2);
    assertThat(monitor.exchangeFinished(YOUNG, 3))
        .containsExactly(close(YOUNG, CloseReason.EXCHANGE_ABORTED));
    assertThat(monitor.size()).isZero();
  }

  @Test
  void callerLinkIsClosedWithoutAProbe() {
    ConnectionMonitor callers =
        new ConnectionMonitor(new ConnectionSettings(false, MS, 300 * MS, MS, MS, MS));
    callers.opened(OLD, 0);
    callers.opened(IDLE, 0);
    callers.exchangeStarted(OLD, MS, MS, 0);
    assertThat(callers.tick(2 * MS)).containsExactly(close(OLD, CloseReason.RECEIVE_SILENCE));
    assertThat(callers.canCarry(IDLE)).isTrue();
  }

  /**
   * Silences connections at one moment and expects all of them resolved within the stated time,
   * whenever another silence and its probe began and whether or not the server still answers. A
   * connection that was opened meanwhile must not stay suspect for ever.
   */
  @Property(seed = "4107", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
  void silenceIsResolvedWithinTheStatedTime(
      @ForAll @LongRange(min = 1, max = 200) long progressMs,
      @ForAll @LongRange(min = -150, max = 150) long earlierMs,
      @ForAll @LongRange(min = 0, max = 200) long youngMs,
      @ForAll @IntRange(min = 1, max = 99) int probeMs,
      @ForAll @IntRange(min = 0, max = 19) int phaseMs,
      @ForAll boolean serverAnswers) {
    long silentAt = 400;
    long otherSilentAt = Math.max(phaseMs, silentAt - earlierMs);
    long deadline =
        Math.max(silentAt, otherSilentAt) * MS + SETTINGS.worstRecoveryNanos(progressMs * MS);
    ConnectionId other = new ConnectionId(9);
    ConnectionMonitor checked = new ConnectionMonitor(SETTINGS);
    checked.opened(other, 0);
    checked.opened(OLD, 0);
    List<long[]> probes = new ArrayList<>();
    Set<ConnectionId> idleAtSilence = new HashSet<>();
    for (long ms = phaseMs; ms * MS <= deadline; ms++) {
      long now = ms * MS;
      if (ms == otherSilentAt && checked.canCarry(other)) {
        checked.exchangeStarted(other, MS, MS, now);
      }
      if (ms == silentAt + youngMs) {
        checked.opened(YOUNG, now);
      }
      if (ms == silentAt && checked.canCarry(OLD)) {
        checked.exchangeStarted(OLD, progressMs * MS, progressMs * MS, now);
        checked.opened(IDLE, now);
        idleAtSilence.add(IDLE);
      }
      for (long[] probe : List.copyOf(probes)) {
        if (serverAnswers && ms == probe[1]) {
          collect(checked.probeSucceeded(probe[0], now), probes, ms, probeMs);
        }
      }
      if ((ms - phaseMs) % 20 == 0) {
        collect(checked.tick(now), probes, ms, probeMs);
      }
    }
    collect(checked.tick(deadline), probes, deadline / MS, probeMs);
    assertThat(checked.state(OLD)).isEqualTo(ConnectionState.CLOSED);
    for (ConnectionId connection : idleAtSilence) {
      assertThat(checked.state(connection)).isEqualTo(ConnectionState.CLOSED);
    }
    assertThat(checked.state(YOUNG)).isNotEqualTo(ConnectionState.SUSPECT);
    assertThat(checked.serverSuspect()).isEqualTo(!serverAnswers);
  }

  private static void collect(
      List<ConnectionAction> actions, List<long[]> probes, long nowMs, int probeMs) {
    for (ConnectionAction action : actions) {
      if (action instanceof ConnectionAction.Probe probe) {
        probes.add(new long[] {probe.probe(), nowMs + probeMs});
      }
    }
  }
}

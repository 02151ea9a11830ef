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
    monitor.addConnection(OLD, 0);
    monitor.addConnection(IDLE, 0);
    monitor.startExchange(OLD, 50 * MS, 10 * MS, 0);
    assertThat(monitor.tick(50 * MS)).isEmpty();
    monitor.recordReceived(OLD, 50 * MS);
    assertThat(monitor.tick(60 * MS)).isEmpty();
    assertThat(monitor.tick(61 * MS))
        .containsExactly(
            close(OLD, CloseReason.RECEIVE_SILENCE),
            new ConnectionAction.MarkSuspect(IDLE),
            new ConnectionAction.Probe(1));
    assertThat(monitor.state(IDLE)).isEqualTo(ConnectionState.SUSPECT);
    assertThat(monitor.canStartExchange(IDLE)).isFalse();
    monitor.addConnection(YOUNG, 62 * MS);
    assertThat(monitor.recordProbeSuccess(1, 70 * MS))
        .containsExactly(close(IDLE, CloseReason.OLDER_THAN_PROBE));
    assertThat(monitor.canStartExchange(YOUNG)).isTrue();
    assertThat(monitor.isServerSuspect()).isFalse();
  }

  @Test
  void failedProbeSuspectsTheServerUntilALaterOneSucceeds() {
    monitor.addConnection(OLD, 0);
    monitor.addConnection(IDLE, 0);
    monitor.startExchange(OLD, 10 * MS, 10 * MS, 0);
    monitor.tick(20 * MS);
    assertThat(monitor.tick(121 * MS))
        .containsExactly(
            close(IDLE, CloseReason.SERVER_SUSPECT), new ConnectionAction.SuspectServer());
    assertThat(monitor.recordProbeSuccess(1, 130 * MS)).isEmpty();
    assertThat(monitor.tick(620 * MS)).isEmpty();
    assertThat(monitor.tick(621 * MS)).containsExactly(new ConnectionAction.Probe(2));
    assertThat(monitor.recordProbeFailure(2, 630 * MS)).isEmpty();
    assertThat(monitor.tick(1_130 * MS)).containsExactly(new ConnectionAction.Probe(3));
    assertThat(monitor.recordProbeSuccess(3, 1_140 * MS))
        .containsExactly(new ConnectionAction.TrustServer());
  }

  @Test
  void peerThatTakesNoDataIsSilentTooAndIsNotBlamedForItsAnswer() {
    monitor.addConnection(OLD, 0);
    monitor.startExchange(OLD, 50 * MS, 50 * MS, 0);
    monitor.recordWriteBlocked(OLD, 0);
    assertThat(monitor.tick(250 * MS)).isEmpty();
    monitor.recordWriteProgress(OLD, false, 260 * MS);
    assertThat(monitor.tick(560 * MS)).isEmpty();
    assertThat(monitor.tick(561 * MS)).contains(close(OLD, CloseReason.SEND_SILENCE));
    monitor.recordProbeSuccess(1, 570 * MS);
    monitor.addConnection(IDLE, 600 * MS);
    monitor.startExchange(IDLE, 50 * MS, 50 * MS, 600 * MS);
    monitor.recordWriteBlocked(IDLE, 600 * MS);
    monitor.recordWriteProgress(IDLE, true, 640 * MS);
    assertThat(monitor.tick(690 * MS)).isEmpty();
    assertThat(monitor.tick(691 * MS)).contains(close(IDLE, CloseReason.RECEIVE_SILENCE));
  }

  @Test
  void ownWritesDoNotHideAPeerThatNoLongerSends() {
    monitor.addConnection(OLD, 0);
    monitor.startExchange(OLD, 1_500 * MS, 1_500 * MS, 0);
    monitor.recordReceived(OLD, 100 * MS);
    for (long at = 500; at <= 1_500; at += 500) {
      monitor.recordWriteBlocked(OLD, at * MS);
      monitor.recordWriteProgress(OLD, true, (at + 1) * MS);
      assertThat(monitor.tick((at + 1) * MS)).isEmpty();
    }
    assertThat(monitor.tick(1_601 * MS)).contains(close(OLD, CloseReason.RECEIVE_SILENCE));
  }

  @Test
  void nonIdempotentCallsNeedAConnectionProvenRecently() {
    monitor.addConnection(OLD, 0);
    assertThat(monitor.canStartNonIdempotentExchange(OLD, 1_000 * MS)).isTrue();
    assertThat(monitor.canStartNonIdempotentExchange(OLD, 1_000 * MS + 1)).isFalse();
    assertThat(monitor.canStartExchange(OLD)).isTrue();
    monitor.startExchange(OLD, 50 * MS, 50 * MS, 2_000 * MS);
    assertThat(monitor.canStartNonIdempotentExchange(OLD, 2_000 * MS)).isFalse();
    monitor.finishExchange(OLD, 2_010 * MS);
    assertThat(monitor.canStartNonIdempotentExchange(OLD, 3_010 * MS)).isTrue();
    assertThat(monitor.canStartNonIdempotentExchange(IDLE, 0)).isFalse();
  }

  @Test
  void connectionWithAnAbortedExchangeOrUnsolicitedDataIsNeverReused() {
    monitor.addConnection(OLD, 0);
    monitor.addConnection(IDLE, 0);
    monitor.startExchange(OLD, 50 * MS, 50 * MS, 0);
    assertThat(monitor.abortExchange(OLD))
        .containsExactly(close(OLD, CloseReason.EXCHANGE_ABORTED));
    assertThatThrownBy(() -> monitor.startExchange(OLD, MS, MS, 0))
        .isInstanceOf(IllegalArgumentException.class);
    assertThat(monitor.recordReceived(IDLE, 1))
        .containsExactly(close(IDLE, CloseReason.UNSOLICITED_DATA));
    assertThat(monitor.recordReceived(IDLE, 2)).isEmpty();
    monitor.addConnection(YOUNG, 2);
    monitor.startExchange(YOUNG, 50 * MS, 50 * MS, 2);
    monitor.recordWriteBlocked(YOUNG, 2);
    assertThat(monitor.finishExchange(YOUNG, 3))
        .containsExactly(close(YOUNG, CloseReason.EXCHANGE_ABORTED));
    assertThat(monitor.size()).isZero();
  }

  @Test
  void callerLinkIsClosedWithoutAProbe() {
    ConnectionMonitor callers =
        new ConnectionMonitor(new ConnectionSettings(false, MS, 300 * MS, MS, MS, MS));
    callers.addConnection(OLD, 0);
    callers.addConnection(IDLE, 0);
    callers.startExchange(OLD, MS, MS, 0);
    assertThat(callers.tick(2 * MS)).containsExactly(close(OLD, CloseReason.RECEIVE_SILENCE));
    assertThat(callers.canStartExchange(IDLE)).isTrue();
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
        Math.max(silentAt, otherSilentAt) * MS + SETTINGS.maxRecoveryNanos(progressMs * MS);
    ConnectionId other = new ConnectionId(9);
    ConnectionMonitor checked = new ConnectionMonitor(SETTINGS);
    checked.addConnection(other, 0);
    checked.addConnection(OLD, 0);
    List<long[]> probes = new ArrayList<>();
    Set<ConnectionId> idleAtSilence = new HashSet<>();
    for (long ms = phaseMs; ms * MS <= deadline; ms++) {
      long now = ms * MS;
      if (ms == otherSilentAt && checked.canStartExchange(other)) {
        checked.startExchange(other, MS, MS, now);
      }
      if (ms == silentAt + youngMs) {
        checked.addConnection(YOUNG, now);
      }
      if (ms == silentAt && checked.canStartExchange(OLD)) {
        checked.startExchange(OLD, progressMs * MS, progressMs * MS, now);
        checked.addConnection(IDLE, now);
        idleAtSilence.add(IDLE);
      }
      for (long[] probe : List.copyOf(probes)) {
        if (serverAnswers && ms == probe[1]) {
          collect(checked.recordProbeSuccess(probe[0], now), probes, ms, probeMs);
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
    assertThat(checked.isServerSuspect()).isEqualTo(!serverAnswers);
  }

  private static void collect(
      List<ConnectionAction> actions, List<long[]> probes, long nowMs, int probeMs) {
    for (ConnectionAction action : actions) {
      if (action instanceof ConnectionAction.Probe probe) {
        probes.add(new long[] {probe.probeId(), nowMs + probeMs});
      }
    }
  }
}

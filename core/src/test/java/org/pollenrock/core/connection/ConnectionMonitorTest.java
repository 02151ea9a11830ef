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

/** Guards against requests that are lost on connections which no longer deliver data. */
class ConnectionMonitorTest {
  private static final long MS = 1_000_000L;
  private static final ConnectionSettings SETTINGS =
      new ConnectionSettings(true, 1_000 * MS, 300 * MS, 100 * MS, 500 * MS, 20 * MS);
  private static final ConnectionId OLD = new ConnectionId(1);
  private static final ConnectionId IDLE = new ConnectionId(2);
  private static final ConnectionId NEWER = new ConnectionId(3);

  private final ConnectionMonitor monitor = new ConnectionMonitor(SETTINGS);

  private static ConnectionAction close(ConnectionId connection, CloseReason reason) {
    return new ConnectionAction.Close(connection, reason);
  }

  @Test
  void missedDeadlineStartsAProbeWhoseSuccessClosesOlderIdleConnections() {
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
    monitor.addConnection(NEWER, 62 * MS);
    assertThat(monitor.recordProbeSuccess(1, 70 * MS))
        .containsExactly(close(IDLE, CloseReason.OLDER_THAN_PROBE));
    assertThat(monitor.canStartExchange(NEWER)).isTrue();
    assertThat(monitor.isServerSuspect()).isFalse();
  }

  @Test
  void serverIsSuspectFromAFailedProbeUntilALaterOneSucceeds() {
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
  void blockedWriteCountsAsSendSilenceAndDefersTheReceiveTimeout() {
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
  void writeProgressDoesNotExtendTheReceiveTimeoutAfterTheFirstByte() {
    monitor.addConnection(OLD, 0);
    monitor.startExchange(OLD, 1_500 * MS, 1_500 * MS, 0);
    monitor.recordReceived(OLD, 100 * MS);
    for (long atMs = 500; atMs <= 1_500; atMs += 500) {
      monitor.recordWriteBlocked(OLD, atMs * MS);
      monitor.recordWriteProgress(OLD, true, (atMs + 1) * MS);
      assertThat(monitor.tick((atMs + 1) * MS)).isEmpty();
    }
    assertThat(monitor.tick(1_601 * MS)).contains(close(OLD, CloseReason.RECEIVE_SILENCE));
  }

  @Test
  void nonIdempotentExchangeNeedsAConnectionThatRecentlyReceivedData() {
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
    monitor.addConnection(NEWER, 2);
    monitor.startExchange(NEWER, 50 * MS, 50 * MS, 2);
    monitor.recordWriteBlocked(NEWER, 2);
    assertThat(monitor.finishExchange(NEWER, 3))
        .containsExactly(close(NEWER, CloseReason.EXCHANGE_ABORTED));
    assertThat(monitor.size()).isZero();
  }

  @Test
  void silentCallerConnectionIsClosedWithoutAProbe() {
    ConnectionMonitor callers =
        new ConnectionMonitor(new ConnectionSettings(false, MS, 300 * MS, MS, MS, MS));
    callers.addConnection(OLD, 0);
    callers.addConnection(IDLE, 0);
    callers.startExchange(OLD, MS, MS, 0);
    assertThat(callers.tick(2 * MS)).containsExactly(close(OLD, CloseReason.RECEIVE_SILENCE));
    assertThat(callers.canStartExchange(IDLE)).isTrue();
  }

  /**
   * Connections fall silent at one moment and must be resolved within {@link
   * ConnectionSettings#maxRecoveryNanos}, independent of when another silence and its probe began
   * and of whether the server still responds. A connection that is opened meanwhile must not stay
   * suspect permanently.
   */
  @Property(seed = "4107", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
  void silenceIsResolvedWithinTheMaximumRecoveryTime(
      @ForAll @LongRange(min = 1, max = 200) long progressMs,
      @ForAll @LongRange(min = -150, max = 150) long otherLeadMs,
      @ForAll @LongRange(min = 0, max = 200) long newerAfterMs,
      @ForAll @IntRange(min = 1, max = 99) int probeDurationMs,
      @ForAll @IntRange(min = 0, max = 19) int tickPhaseMs,
      @ForAll boolean serverResponds) {
    long silentAtMs = 400;
    long otherSilentAtMs = Math.max(tickPhaseMs, silentAtMs - otherLeadMs);
    long deadlineNanos =
        Math.max(silentAtMs, otherSilentAtMs) * MS + SETTINGS.maxRecoveryNanos(progressMs * MS);
    ConnectionId other = new ConnectionId(9);
    ConnectionMonitor testedMonitor = new ConnectionMonitor(SETTINGS);
    testedMonitor.addConnection(other, 0);
    testedMonitor.addConnection(OLD, 0);
    List<long[]> probes = new ArrayList<>();
    Set<ConnectionId> idleAtSilence = new HashSet<>();
    for (long ms = tickPhaseMs; ms * MS <= deadlineNanos; ms++) {
      long now = ms * MS;
      if (ms == otherSilentAtMs && testedMonitor.canStartExchange(other)) {
        testedMonitor.startExchange(other, MS, MS, now);
      }
      if (ms == silentAtMs + newerAfterMs) {
        testedMonitor.addConnection(NEWER, now);
      }
      if (ms == silentAtMs && testedMonitor.canStartExchange(OLD)) {
        testedMonitor.startExchange(OLD, progressMs * MS, progressMs * MS, now);
        testedMonitor.addConnection(IDLE, now);
        idleAtSilence.add(IDLE);
      }
      for (long[] probe : List.copyOf(probes)) {
        if (serverResponds && ms == probe[1]) {
          collectProbes(
              testedMonitor.recordProbeSuccess(probe[0], now), probes, ms, probeDurationMs);
        }
      }
      if ((ms - tickPhaseMs) % 20 == 0) {
        collectProbes(testedMonitor.tick(now), probes, ms, probeDurationMs);
      }
    }
    collectProbes(testedMonitor.tick(deadlineNanos), probes, deadlineNanos / MS, probeDurationMs);
    assertThat(testedMonitor.state(OLD)).isEqualTo(ConnectionState.CLOSED);
    for (ConnectionId connection : idleAtSilence) {
      assertThat(testedMonitor.state(connection)).isEqualTo(ConnectionState.CLOSED);
    }
    assertThat(testedMonitor.state(NEWER)).isNotEqualTo(ConnectionState.SUSPECT);
    assertThat(testedMonitor.isServerSuspect()).isEqualTo(!serverResponds);
  }

  /** Adds the identifier of each started probe and the time of its response in milliseconds. */
  private static void collectProbes(
      List<ConnectionAction> actions, List<long[]> probes, long nowMs, int probeDurationMs) {
    for (ConnectionAction action : actions) {
      if (action instanceof ConnectionAction.Probe probe) {
        probes.add(new long[] {probe.probeId(), nowMs + probeDurationMs});
      }
    }
  }
}

package org.pollenrock.router.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SnapshotSchedule;
import org.pollenrock.router.settings.RouterSettings;

/** Guards settings that come from peers: they never go back, and none is skipped. */
class SettingsLogTest {
  private final List<RouterSettings> inForce = new ArrayList<>();
  private final Sent sent = new Sent();
  private final SettingsLog log = newLog(inForce, sent);

  private static final class Sent implements PeerLinks {
    private final List<LogRecord> records = new ArrayList<>();
    private final List<Long> pulls = new ArrayList<>();

    @Override
    public void applied(long offset) {
      // Heartbeats are not part of this test.
    }

    @Override
    public void pull(String peer, long from) {
      pulls.add(from);
    }

    @Override
    public void sendRecords(String peer, List<LogRecord> all) {
      records.addAll(all);
    }

    @Override
    public void broadcastRecords(List<LogRecord> all) {
      // Only answers to a pull are collected.
    }

    @Override
    public void sendLoan(InstanceId to, LoanMessage message) {
      // Limits are not part of this test.
    }

    @Override
    public void broadcastDigests(List<ServerEvidence.PeerDigest> digests) {
      // Servers are not part of this test.
    }
  }

  private static SettingsLog newLog(List<RouterSettings> inForce, PeerLinks links) {
    return new SettingsLog(
        new SnapshotSchedule(new InstanceId("router-1"), 3_600_000),
        inForce::add,
        parts -> {},
        links,
        new Random(1),
        () -> 0L);
  }

  private static LogRecord change(long offset) {
    SettingsEdit edit =
        new SettingsEdit.Put(
            SettingsPath.parse("root/deadline"), new SettingsNode.Text((offset + 1) + "s"));
    SettingsChange change =
        new SettingsChange(new UUID(0, offset), "operator", offset - 1, List.of(edit));
    return new LogRecord(offset, offset, SettingsCodec.encode(change));
  }

  private static LogBatch batch(long from, long next) {
    List<LogRecord> records = new ArrayList<>();
    for (long offset = from; offset < next; offset++) {
      records.add(change(offset));
    }
    return new LogBatch(from, next, records);
  }

  @Test
  void settingsAreInForceOnlyWhenTheLogWasReadToItsHead() {
    log.read(batch(0, 2), false, 2);
    assertThat(inForce).isEmpty();
    log.read(batch(2, 3), true, 3);
    assertThat(inForce).extracting(RouterSettings::revision).containsExactly(2L);
  }

  @Test
  void laggingPeerReceivesRecordsOrASnapshotAndReachesTheSameRevision() {
    log.read(batch(0, 1_500), true, 1_500);
    for (long from : new long[] {1_400, 0}) {
      sent.records.clear();
      List<RouterSettings> atPeer = new ArrayList<>();
      SettingsLog peer = newLog(atPeer, new Sent());
      if (from > 0) {
        peer.read(batch(0, from), true, from);
      }
      log.pulled("router-2", from);
      peer.receivedFromPeer(sent.records);
      assertThat(atPeer.getLast().revision()).isEqualTo(1_499);
    }
  }

  @Test
  void recordsBehindAGapAndOlderOnesChangeNothing() {
    log.read(batch(0, 3), true, 3);
    log.receivedFromPeer(batch(5, 6).records());
    log.receivedFromPeer(batch(0, 2).records());
    assertThat(inForce).extracting(RouterSettings::revision).containsExactly(2L);
    log.peerApplied("router-2", 5);
    assertThat(sent.pulls).containsExactly(3L);
  }
}

package org.pollenrock.router.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.AppliedChange;
import org.pollenrock.core.settings.DecodedRecord;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SnapshotCodec;
import org.pollenrock.core.settings.SnapshotPart;
import org.pollenrock.core.settings.SnapshotSchedule;
import org.pollenrock.router.settings.RouterSettings;

/** Settings as the log has them; confined to the decision thread. */
public final class SettingsLog {
  private static final Logger LOG = LogManager.getLogger(SettingsLog.class);

  private static final long PULL_INTERVAL_NANOS = 200_000_000L;

  /** Spreads the pulls of routers that rejoin at the same time. */
  private static final long PULL_JITTER_NANOS = 300_000_000L;

  private final SettingsHistory history = new SettingsHistory();
  private final RecordBuffer buffer = new RecordBuffer();
  private final List<SnapshotPart> parts = new ArrayList<>();
  private final PeerLinks peers;
  private final RandomGenerator random;
  private final SnapshotSchedule schedule;
  private final Consumer<RouterSettings> inForce;
  private final Consumer<List<byte[]>> appender;
  private final LongSupplier nanoClock;
  private long published = SettingsHistory.NO_REVISION;
  private boolean atHead;
  private long headTimeMillis;
  private boolean writing;
  private long newestAtPeers = SettingsHistory.NO_REVISION;
  private long nextPullNanos;

  SettingsLog(
      SnapshotSchedule schedule,
      Consumer<RouterSettings> inForce,
      Consumer<List<byte[]>> appender,
      PeerLinks peers,
      RandomGenerator random,
      LongSupplier nanoClock) {
    this.peers = peers;
    this.random = random;
    this.nextPullNanos = nanoClock.getAsLong();
    this.schedule = schedule;
    this.inForce = inForce;
    this.appender = appender;
    this.nanoClock = nanoClock;
  }

  /**
   * Applies records.
   *
   * @param batch what was read
   * @param readToHead whether the log holds no later record
   * @param headTime the log's time of its newest record, in milliseconds since 1970
   */
  public void read(LogBatch batch, boolean readToHead, long headTime) {
    boolean news = batch.next() > history.next();
    apply(batch);
    if (news) {
      peers.broadcastRecords(batch.records());
    }
    atHead = readToHead;
    headTimeMillis = headTime;
    // A router that has read only a part would put settings in force that were replaced long ago.
    if (readToHead || published != SettingsHistory.NO_REVISION) {
      publish();
    }
  }

  private void apply(LogBatch batch) {
    long before = history.next();
    for (AppliedChange change : history.apply(batch)) {
      LOG.info("settings change {} {}", change.change().id(), change.outcome());
    }
    if (batch.from() <= before) {
      buffer.add(batch.records());
    }
    peers.applied(history.next() - 1);
  }

  /**
   * Sends a peer the records that it lacks, or a snapshot when they are no longer held.
   *
   * @param peer name of the peer
   * @param from offset of the first record that it wants
   */
  public void pulled(String peer, long from) {
    if (from >= history.next() || history.awaitsSnapshot()) {
      return;
    }
    peers.sendRecords(peer, buffer.covers(from) ? buffer.from(from) : snapshotRecords());
  }

  private List<LogRecord> snapshotRecords() {
    List<LogRecord> records = new ArrayList<>();
    for (SnapshotPart part : SnapshotCodec.encode(history.snapshot())) {
      records.add(new LogRecord(PeerLinks.SNAPSHOT_OFFSET, 0, SettingsCodec.encode(part)));
    }
    return records;
  }

  /**
   * Applies records from a peer.
   *
   * @param records records of the log in order, or parts of a snapshot
   */
  public void receivedFromPeer(List<LogRecord> records) {
    List<LogRecord> ofLog = new ArrayList<>();
    for (LogRecord one : records) {
      if (one.offset() == PeerLinks.SNAPSHOT_OFFSET) {
        snapshotPart(one);
      } else {
        ofLog.add(one);
      }
    }
    if (!ofLog.isEmpty() && isRange(ofLog)) {
      apply(new LogBatch(ofLog.getFirst().offset(), ofLog.getLast().offset() + 1, ofLog));
    }
    // Before the first settings, only a state as new as the peers' is put in force.
    if (published != SettingsHistory.NO_REVISION || history.next() > newestAtPeers) {
      publish();
    }
  }

  private static boolean isRange(List<LogRecord> records) {
    long expected = records.getFirst().offset();
    for (LogRecord one : records) {
      if (one.offset() != expected) {
        return false;
      }
      expected++;
    }
    return true;
  }

  private void snapshotPart(LogRecord record) {
    if (!(SettingsCodec.decode(record.data()) instanceof DecodedRecord.Part(SnapshotPart part))) {
      return;
    }
    if (part.index() == 0) {
      parts.clear();
    }
    parts.add(part);
    if (parts.size() == part.count()) {
      SnapshotCodec.decode(List.copyOf(parts)).ifPresent(history::install);
      parts.clear();
      peers.applied(history.next() - 1);
    }
  }

  /**
   * Takes note of how far a peer is, and asks it for what is missing.
   *
   * @param peer name of the peer
   * @param offset offset of the newest record that it has applied
   */
  void peerApplied(String peer, long offset) {
    newestAtPeers = Math.max(newestAtPeers, offset);
    long now = nanoClock.getAsLong();
    if (offset < history.next() || now - nextPullNanos < 0) {
      return;
    }
    nextPullNanos = now + PULL_INTERVAL_NANOS + random.nextLong(PULL_JITTER_NANOS);
    peers.pull(peer, history.next());
  }

  private void publish() {
    if (history.revision() > published) {
      published = history.revision();
      inForce.accept(new RouterSettings(published, history.tree()));
    }
  }

  /**
   * Takes note that the log dropped records.
   *
   * @param first lowest offset that the log keeps
   */
  public void truncated(long first) {
    history.truncated(first);
  }

  /** Takes note that the append of a snapshot ended, with or without success. */
  public void snapshotEnded() {
    writing = false;
  }

  void tick(Collection<InstanceId> routers) {
    boolean due =
        atHead
            && !writing
            && schedule.shouldWrite(history, headTimeMillis, routers, nanoClock.getAsLong());
    if (!due) {
      return;
    }
    writing = true;
    List<byte[]> records = new ArrayList<>();
    for (SnapshotPart part : SnapshotCodec.encode(history.snapshot())) {
      records.add(SettingsCodec.encode(part));
    }
    appender.accept(records);
  }

  long revision() {
    return published;
  }
}

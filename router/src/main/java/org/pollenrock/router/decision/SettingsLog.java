package org.pollenrock.router.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.AppliedChange;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SnapshotCodec;
import org.pollenrock.core.settings.SnapshotPart;
import org.pollenrock.core.settings.SnapshotSchedule;
import org.pollenrock.router.settings.RouterSettings;

/** Settings as the log has them; confined to the decision thread. */
public final class SettingsLog {
  private static final Logger LOG = LogManager.getLogger(SettingsLog.class);

  private final SettingsHistory history = new SettingsHistory();
  private final SnapshotSchedule schedule;
  private final Consumer<RouterSettings> inForce;
  private final Consumer<List<byte[]>> appender;
  private final LongSupplier nanoClock;
  private long published = SettingsHistory.NO_REVISION;
  private boolean atHead;
  private long headTimeMillis;
  private boolean writing;

  SettingsLog(
      SnapshotSchedule schedule,
      Consumer<RouterSettings> inForce,
      Consumer<List<byte[]>> appender,
      LongSupplier nanoClock) {
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
    for (AppliedChange change : history.apply(batch)) {
      LOG.info("settings change {} {}", change.change().id(), change.outcome());
    }
    atHead = readToHead;
    headTimeMillis = headTime;
    // A router that has read only a part would put settings in force that were replaced long ago.
    if (readToHead || published != SettingsHistory.NO_REVISION) {
      publish();
    }
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

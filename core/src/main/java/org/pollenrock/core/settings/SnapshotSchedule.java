package org.pollenrock.core.settings;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.Objects;
import org.pollenrock.core.digest.Sha256;
import org.pollenrock.core.model.InstanceId;

/**
 * Decides when this router appends a snapshot to the log.
 *
 * <p>Rendezvous hashing over the routers ranks them for each turn. The first writes at once, each
 * other one a delay later than the one before it, so that a lost writer is replaced and usually
 * only one snapshot is written.
 */
public final class SnapshotSchedule {
  /** Change records after which a snapshot is due. */
  public static final int CHANGES_PER_SNAPSHOT = 256;

  /** Part of the retention after which a snapshot is due. */
  private static final int RETENTION_PARTS = 4;

  /** Time between two ranks; covers an append and the read of it by the others. */
  public static final long RANK_DELAY_NANOS = 2_000_000_000L;

  /** Time after which a router writes again when its snapshot did not appear. */
  private static final long REPEAT_NANOS = 10_000_000_000L;

  private final InstanceId self;
  private final long retentionMillis;
  private boolean due;
  private long dueTurn;
  private long dueSinceNanos;

  /**
   * Creates a schedule.
   *
   * @param self this router
   * @param retentionMillis time for which the log keeps records, in milliseconds
   */
  public SnapshotSchedule(InstanceId self, long retentionMillis) {
    this.self = Objects.requireNonNull(self, "self");
    this.retentionMillis = retentionMillis;
  }

  /**
   * Tells whether this router writes a snapshot now.
   *
   * @param history the state, which has read the log to its head
   * @param headTimeMillis the log's time of its newest record, in milliseconds since 1970
   * @param routers the live routers
   * @param nowNanos monotonic time
   * @return true when it shall write one; true again 10 s later when none appeared
   */
  public boolean shouldWrite(
      SettingsHistory history, long headTimeMillis, Collection<InstanceId> routers, long nowNanos) {
    if (history.awaitsSnapshot() || !isDue(history, headTimeMillis)) {
      due = false;
      return false;
    }
    long turn = history.lastSnapshot().next();
    if (!due || turn != dueTurn) {
      due = true;
      dueTurn = turn;
      dueSinceNanos = nowNanos;
    }
    if (nowNanos - dueSinceNanos < rank(routers, turn) * RANK_DELAY_NANOS) {
      return false;
    }
    dueSinceNanos = nowNanos + REPEAT_NANOS;
    return true;
  }

  private boolean isDue(SettingsHistory history, long headTimeMillis) {
    if (history.revision() == SettingsHistory.NO_REVISION) {
      return false;
    }
    if (history.changesSinceSnapshot() >= CHANGES_PER_SNAPSHOT) {
      return true;
    }
    SnapshotMark last = history.lastSnapshot();
    return last.timeMillis().isEmpty()
        || headTimeMillis - last.timeMillis().getAsLong() >= retentionMillis / RETENTION_PARTS;
  }

  private long rank(Collection<InstanceId> routers, long turn) {
    long own = score(self, turn);
    return routers.stream()
        .filter(router -> !router.equals(self))
        .filter(router -> Long.compareUnsigned(score(router, turn), own) > 0)
        .count();
  }

  private static long score(InstanceId router, long turn) {
    MessageDigest sha = Sha256.newDigest();
    sha.update(router.value().getBytes(StandardCharsets.UTF_8));
    sha.update(ByteBuffer.allocate(Long.BYTES).putLong(turn).flip());
    return ByteBuffer.wrap(sha.digest()).getLong();
  }
}

package org.pollenrock.core.claim;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;

/** Reading position of the claim stream and the state that follows from the entries read. */
final class ClaimLog {
  private final ClaimTable table;
  private final RetentionMonitor retention;
  private final ClaimCodec codec = new ClaimCodec();
  private final long futureToleranceMillis;
  private long nextOffset = -1;

  ClaimLog(ClaimSettings settings) {
    this.futureToleranceMillis = settings.futureToleranceMillis();
    this.table =
        new ClaimTable(settings.windowMillis(), futureToleranceMillis, settings.maxTableBytes());
    this.retention = new RetentionMonitor(settings.windowMillis());
  }

  ClaimTable table() {
    return table;
  }

  ClaimCodec codec() {
    return codec;
  }

  long nextOffset() {
    return Math.max(0, nextOffset);
  }

  /** Returns whether the stream was read up to the head that the read reported. */
  boolean isCaughtUp(LogReadResult read) {
    return nextOffset >= read.headOffset();
  }

  /**
   * Returns whether the head of the read lies before the current position: the result arrived late,
   * or the log lost entries.
   */
  boolean endsBeforePosition(LogReadResult read) {
    return nextOffset >= 0 && read.headOffset() < nextOffset;
  }

  /**
   * Restarts table and position at the start of the read when it does not continue the current
   * position: at the first read, and when the log dropped entries that were not read.
   *
   * @return true when entries between the old and the new position were missed
   */
  boolean restartOnGap(LogReadResult read) {
    retention.recordFirstOffset(read.firstOffset());
    if (nextOffset >= 0 && read.startOffset() <= nextOffset) {
      return false;
    }
    boolean gap = nextOffset >= 0;
    nextOffset = read.startOffset();
    table.restart(nextOffset);
    retention.restart();
    return gap;
  }

  /** Applies the entries that were not read before and passes each record to the sink. */
  void apply(LogReadResult read, BiConsumer<ClaimRecord, ClaimTable.RecordResult> sink) {
    for (LogEntry entry : read.entries()) {
      if (entry.offset() >= nextOffset) {
        apply(entry, sink);
      }
    }
    table.advanceTime(read.headTimeMillis());
  }

  Optional<ClaimView> find(ClaimCall call) {
    return table.find(call.key());
  }

  /** Returns whether the key's time is too far ahead of the newest log time to be claimed now. */
  boolean isTooFarAhead(ClaimCall call) {
    return call.keyTimeMillis() > table.newestTimeMillis() + futureToleranceMillis;
  }

  /** Returns whether the key may be claimed at the newest log time. */
  boolean isInWindow(ClaimCall call) {
    return table.isInWindow(call.keyTimeMillis(), table.newestTimeMillis());
  }

  /** Returns whether no earlier claim of the key can be missing from the table. */
  boolean isHistoryComplete(ClaimCall call) {
    return table.isCompleteFor(call.keyTimeMillis())
        && retention.isSufficient(table.newestTimeMillis());
  }

  private void apply(LogEntry entry, BiConsumer<ClaimRecord, ClaimTable.RecordResult> sink) {
    nextOffset = entry.offset() + 1;
    retention.recordEntry(entry.offset(), entry.timeMillis());
    table.beginEntry(entry.timeMillis());
    for (ClaimRecord claimRecord : codec.decode(entry.data())) {
      sink.accept(claimRecord, table.apply(claimRecord, entry.timeMillis()));
    }
  }
}

package org.pollenrock.core.claim;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;

/** The claim stream as far as it was read: position, table and horizon. */
final class ClaimLog {
  private final ClaimTable table;
  private final LogHorizon horizon;
  private final ClaimCodec codec = new ClaimCodec();
  private final long futureMillis;
  private long nextOffset = -1;

  ClaimLog(ClaimSettings settings) {
    this.futureMillis = settings.futureToleranceMillis();
    this.table = new ClaimTable(settings.windowMillis(), futureMillis, settings.maxTableBytes());
    this.horizon = new LogHorizon(settings.windowMillis());
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

  boolean caughtUp(LogReadResult read) {
    return nextOffset >= read.headOffset();
  }

  /** A read that ends before what was already read is late, or the log lost entries. */
  boolean endsBeforePosition(LogReadResult read) {
    return nextOffset >= 0 && read.headOffset() < nextOffset;
  }

  /**
   * Starts again when the read does not continue the position.
   *
   * @return true when entries were missed
   */
  boolean align(LogReadResult read) {
    horizon.firstOffset(read.firstOffset());
    if (nextOffset >= 0 && read.startOffset() <= nextOffset) {
      return false;
    }
    boolean gap = nextOffset >= 0;
    nextOffset = read.startOffset();
    table.restart(nextOffset);
    horizon.restart();
    return gap;
  }

  void apply(LogReadResult read, BiConsumer<ClaimRecord, ClaimTable.Verdict> sink) {
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

  boolean tooFarAhead(ClaimCall call) {
    return call.keyTimeMillis() > table.newestTimeMillis() + futureMillis;
  }

  boolean inWindow(ClaimCall call) {
    return table.isInWindow(call.keyTimeMillis(), table.newestTimeMillis());
  }

  boolean historyComplete(ClaimCall call) {
    return table.isCompleteFor(call.keyTimeMillis())
        && horizon.longEnough(table.newestTimeMillis());
  }

  private void apply(LogEntry entry, BiConsumer<ClaimRecord, ClaimTable.Verdict> sink) {
    nextOffset = entry.offset() + 1;
    horizon.entryRead(entry.offset(), entry.timeMillis());
    table.beginEntry(entry.timeMillis());
    for (ClaimRecord claimRecord : codec.decode(entry.data())) {
      sink.accept(claimRecord, table.apply(claimRecord, entry.timeMillis()));
    }
  }
}

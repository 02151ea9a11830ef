package org.pollenrock.core.claim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Collects the records of one router and decides when to append them to the claim stream.
 *
 * <p>When the result of an append is not known, reading the stream resolves it: a record that is
 * read back was appended; a record that is still missing after the retry delay and a read up to the
 * head of the log is appended again. A second copy is harmless because a repeated record has no
 * further effect.
 */
public final class ClaimBatcher {
  /** Maximum size of an append; keeps one log entry small relative to a read response. */
  public static final int MAX_BATCH_BYTES = 48 * 1024;

  /** Maximum number of appends without a response at the same time. */
  public static final int MAX_IN_FLIGHT = 4;

  private static final int MAX_BACKOFF_SHIFT = 6;

  private final byte[] header;
  private final ClaimSettings settings;
  private final ArrayDeque<QueuedRecord> pending = new ArrayDeque<>();
  private final Map<Long, List<QueuedRecord>> inFlight = new HashMap<>();
  private final Map<RecordId, UnresolvedRecord> unresolved = new LinkedHashMap<>();
  private long nextAppendId = 1;
  private long nextAppendNanos = Long.MIN_VALUE;
  private int consecutiveFailures;

  /**
   * A batch of records to append to the log.
   *
   * @param id id of the append, unique within the batcher, with which the result is reported
   * @param data encoded batch
   */
  public record Append(long id, byte[] data) {}

  /** Identity of a record: a claim has at most one record of each type. */
  private record RecordId(ClaimId claim, Class<?> type) {
    private static RecordId of(ClaimRecord claimRecord) {
      return new RecordId(claimRecord.claim(), claimRecord.getClass());
    }
  }

  /** Encoded record; {@code mayBeInLog} is set after an append with an unknown result. */
  private record QueuedRecord(ClaimRecord claimRecord, byte[] frame, boolean mayBeInLog) {}

  /** Record whose append has an unknown result, with the time at which that became known. */
  private record UnresolvedRecord(QueuedRecord queuedRecord, long sinceNanos) {}

  /**
   * Creates a batcher without records.
   *
   * @param router id of the router that writes the records
   * @param incarnation incarnation of that router
   * @param settings batch interval, retry delay and queue bound
   */
  public ClaimBatcher(InstanceId router, Incarnation incarnation, ClaimSettings settings) {
    this.header = ClaimCodec.encodeHeader(router, incarnation);
    this.settings = settings;
  }

  /**
   * Queues a claim or a time mark unless the queue is full.
   *
   * @param claimRecord the record
   * @return false when the queue is full and the record was not queued
   */
  public boolean offer(ClaimRecord claimRecord) {
    if (pending.size() >= settings.maxPendingRecords()) {
      return false;
    }
    enqueue(claimRecord);
    return true;
  }

  /**
   * Queues a record that ends a claim, even when the queue is full. There is at most one such
   * record per claim, so the bound on claims also bounds their number.
   *
   * @param claimRecord the record
   */
  public void enqueue(ClaimRecord claimRecord) {
    pending.add(new QueuedRecord(claimRecord, ClaimCodec.encode(claimRecord), false));
  }

  /**
   * Removes a claim from the queue and from the retries, so that it is not appended again.
   *
   * @param claim id of the claim
   * @return false when the claim may be in the log, so that it must be released
   */
  public boolean withdraw(ClaimId claim) {
    RecordId id = new RecordId(claim, ClaimRecord.Claimed.class);
    unresolved.remove(id);
    Optional<QueuedRecord> queued =
        pending.stream()
            .filter(queuedRecord -> RecordId.of(queuedRecord.claimRecord()).equals(id))
            .findFirst();
    queued.ifPresent(pending::remove);
    return queued.isPresent() && !queued.get().mayBeInLog();
  }

  /**
   * Returns the next append when one is due. There is at most one append per batch interval, and a
   * longer pause after a failed append.
   *
   * @param nowNanos current time
   * @return the append, or empty when none is due
   */
  public Optional<Append> poll(long nowNanos) {
    if (pending.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT || nowNanos < nextAppendNanos) {
      return Optional.empty();
    }
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    data.writeBytes(header);
    List<QueuedRecord> batch = new ArrayList<>();
    while (!pending.isEmpty() && fits(data, pending.peek(), batch)) {
      QueuedRecord queuedRecord = pending.remove();
      data.writeBytes(queuedRecord.frame());
      batch.add(queuedRecord);
    }
    long id = nextAppendId++;
    inFlight.put(id, batch);
    nextAppendNanos = nowNanos + settings.batchIntervalNanos();
    return Optional.of(new Append(id, data.toByteArray()));
  }

  /**
   * Records that the log confirmed an append.
   *
   * @param appendId id of the append
   */
  public void recordAppendSuccess(long appendId) {
    inFlight.remove(appendId);
    consecutiveFailures = 0;
  }

  /**
   * Records that an append certainly had no effect. Its records are queued again in front of all
   * others. The pause before the next append doubles with each consecutive failure, up to 64 batch
   * intervals.
   *
   * @param appendId id of the append
   * @param nowNanos current time
   */
  public void recordAppendFailure(long appendId, long nowNanos) {
    List<QueuedRecord> batch = inFlight.remove(appendId);
    if (batch == null) {
      return;
    }
    for (int i = batch.size() - 1; i >= 0; i--) {
      pending.addFirst(batch.get(i));
    }
    consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFF_SHIFT);
    nextAppendNanos = nowNanos + (settings.batchIntervalNanos() << consecutiveFailures);
  }

  /**
   * Records that it is not known whether an append took effect.
   *
   * @param appendId id of the append
   * @param nowNanos current time
   */
  public void recordUncertainAppend(long appendId, long nowNanos) {
    List<QueuedRecord> batch = inFlight.remove(appendId);
    if (batch == null) {
      return;
    }
    for (QueuedRecord queuedRecord : batch) {
      QueuedRecord uncertain =
          new QueuedRecord(queuedRecord.claimRecord(), queuedRecord.frame(), true);
      unresolved.put(
          RecordId.of(queuedRecord.claimRecord()), new UnresolvedRecord(uncertain, nowNanos));
    }
  }

  /**
   * Records that a record of this router was read from the log, so that it needs no retry.
   *
   * @param claimRecord the record
   */
  public void recordReadBack(ClaimRecord claimRecord) {
    RecordId id = RecordId.of(claimRecord);
    unresolved.remove(id);
    pending.removeIf(
        queuedRecord ->
            queuedRecord.mayBeInLog() && RecordId.of(queuedRecord.claimRecord()).equals(id));
  }

  /**
   * Queues the records again that are still missing from the log after the retry delay. Called when
   * the log was read up to its head.
   *
   * @param nowNanos current time
   */
  public void requeueMissing(long nowNanos) {
    Iterator<UnresolvedRecord> iterator = unresolved.values().iterator();
    while (iterator.hasNext()) {
      UnresolvedRecord missing = iterator.next();
      if (nowNanos - missing.sinceNanos() < settings.retryDelayNanos()) {
        return;
      }
      iterator.remove();
      pending.add(missing.queuedRecord());
    }
  }

  /**
   * Returns the earliest time at which {@link #poll} may return an append.
   *
   * @return a time, or {@link Long#MAX_VALUE} when no record is queued or too many appends are
   *     without a response
   */
  public long nextPollNanos() {
    boolean blocked = pending.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT;
    return blocked ? Long.MAX_VALUE : nextAppendNanos;
  }

  private static boolean fits(
      ByteArrayOutputStream data, QueuedRecord next, List<QueuedRecord> batch) {
    return batch.isEmpty() || data.size() + next.frame().length <= MAX_BATCH_BYTES;
  }
}

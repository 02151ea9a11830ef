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
 * Decides when a router appends its records to the claim stream.
 *
 * <p>An append of unknown effect is resolved by reading: a record that is read back is done; one
 * that is still missing after a delay and a read up to the head is appended again, which is
 * harmless because a repeated record has no second effect.
 */
public final class ClaimBatcher {
  /** Longest append in bytes, so that one entry stays small against a read response. */
  public static final int MAX_BATCH_BYTES = 48 * 1024;

  /** Appends whose response may be outstanding at once. */
  public static final int MAX_IN_FLIGHT = 4;

  private static final int MAX_BACKOFF_SHIFT = 6;

  private final byte[] header;
  private final ClaimSettings settings;
  private final ArrayDeque<Item> pending = new ArrayDeque<>();
  private final Map<Long, List<Item>> inFlight = new HashMap<>();
  private final Map<RecordId, Unresolved> unresolved = new LinkedHashMap<>();
  private long nextAppendId = 1;
  private long earliestNanos = Long.MIN_VALUE;
  private int failures;

  /**
   * An append that is to be sent to the log.
   *
   * @param id number to report the result under
   * @param data the bytes
   */
  public record Append(long id, byte[] data) {}

  private record RecordId(ClaimId claim, Class<?> type) {
    private static RecordId of(ClaimRecord claimRecord) {
      return new RecordId(claimRecord.claim(), claimRecord.getClass());
    }
  }

  private record Item(ClaimRecord claimRecord, byte[] frame, boolean mayBeInLog) {}

  private record Unresolved(Item item, long sinceNanos) {}

  /**
   * Creates a batcher with nothing to append.
   *
   * @param router the router
   * @param incarnation its incarnation
   * @param settings interval, delay and bounds
   */
  public ClaimBatcher(InstanceId router, Incarnation incarnation, ClaimSettings settings) {
    this.header = ClaimCodec.encodeHeader(router, incarnation);
    this.settings = settings;
  }

  /**
   * Queues a record that may be refused: a claim or a time mark.
   *
   * @param claimRecord the record
   * @return false when too many records wait
   */
  public boolean offer(ClaimRecord claimRecord) {
    if (pending.size() >= settings.maxPendingRecords()) {
      return false;
    }
    enqueue(claimRecord);
    return true;
  }

  /**
   * Queues a record that ends a claim; there is at most one a claim, so claims bound their number.
   *
   * @param claimRecord the record
   */
  public void enqueue(ClaimRecord claimRecord) {
    pending.add(new Item(claimRecord, ClaimCodec.encode(claimRecord), false));
  }

  /**
   * Takes a claim back: it is not appended again.
   *
   * @param claim the claim
   * @return false when the claim may be in the log, so that a release is needed
   */
  public boolean withdraw(ClaimId claim) {
    RecordId id = new RecordId(claim, ClaimRecord.Claimed.class);
    unresolved.remove(id);
    Optional<Item> queued =
        pending.stream().filter(item -> RecordId.of(item.claimRecord()).equals(id)).findFirst();
    queued.ifPresent(pending::remove);
    return queued.isPresent() && !queued.get().mayBeInLog();
  }

  /**
   * Takes the next append when one is due.
   *
   * @param nowNanos current time
   * @return the append, at most one an interval
   */
  public Optional<Append> poll(long nowNanos) {
    if (pending.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT || nowNanos < earliestNanos) {
      return Optional.empty();
    }
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    data.writeBytes(header);
    List<Item> batch = new ArrayList<>();
    while (!pending.isEmpty() && fits(data, pending.peek(), batch)) {
      Item item = pending.remove();
      data.writeBytes(item.frame());
      batch.add(item);
    }
    long id = nextAppendId++;
    inFlight.put(id, batch);
    earliestNanos = nowNanos + settings.batchIntervalNanos();
    return Optional.of(new Append(id, data.toByteArray()));
  }

  /**
   * The log confirmed an append.
   *
   * @param appendId number of the append
   */
  public void recordAppendSuccess(long appendId) {
    inFlight.remove(appendId);
    failures = 0;
  }

  /**
   * The log certainly did not take an append; its records are queued again.
   *
   * @param appendId number of the append
   * @param nowNanos current time
   */
  public void recordAppendFailure(long appendId, long nowNanos) {
    List<Item> batch = inFlight.remove(appendId);
    if (batch == null) {
      return;
    }
    for (int i = batch.size() - 1; i >= 0; i--) {
      pending.addFirst(batch.get(i));
    }
    failures = Math.min(failures + 1, MAX_BACKOFF_SHIFT);
    earliestNanos = nowNanos + (settings.batchIntervalNanos() << failures);
  }

  /**
   * The effect of an append is not known.
   *
   * @param appendId number of the append
   * @param nowNanos current time
   */
  public void recordUncertainAppend(long appendId, long nowNanos) {
    List<Item> batch = inFlight.remove(appendId);
    if (batch == null) {
      return;
    }
    for (Item item : batch) {
      Item uncertain = new Item(item.claimRecord(), item.frame(), true);
      unresolved.put(RecordId.of(item.claimRecord()), new Unresolved(uncertain, nowNanos));
    }
  }

  /**
   * A record of this router was read from the log.
   *
   * @param claimRecord the record
   */
  public void recordReadBack(ClaimRecord claimRecord) {
    RecordId id = RecordId.of(claimRecord);
    unresolved.remove(id);
    pending.removeIf(item -> item.mayBeInLog() && RecordId.of(item.claimRecord()).equals(id));
  }

  /**
   * The log was read up to its head: records that should have appeared are queued again.
   *
   * @param nowNanos current time
   */
  public void requeueMissing(long nowNanos) {
    Iterator<Unresolved> iterator = unresolved.values().iterator();
    while (iterator.hasNext()) {
      Unresolved missing = iterator.next();
      if (nowNanos - missing.sinceNanos() < settings.retryDelayNanos()) {
        return;
      }
      iterator.remove();
      pending.add(missing.item());
    }
  }

  /**
   * When {@link #poll} may return an append.
   *
   * @return a time, or {@link Long#MAX_VALUE} when nothing waits
   */
  public long nextPollNanos() {
    boolean blocked = pending.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT;
    return blocked ? Long.MAX_VALUE : earliestNanos;
  }

  private static boolean fits(ByteArrayOutputStream data, Item next, List<Item> batch) {
    return batch.isEmpty() || data.size() + next.frame().length <= MAX_BATCH_BYTES;
  }
}

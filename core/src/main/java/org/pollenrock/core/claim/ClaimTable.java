package org.pollenrock.core.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * State of every recently claimed key: a pure function of the part of the log that was read.
 *
 * <p>Bounded in time by the key window and in bytes: bodies of outcomes are dropped first, oldest
 * first; then whole entries, oldest key first, after which keys up to that age are no longer
 * complete and must be refused.
 */
public final class ClaimTable {
  /** Heap bytes counted for one entry: LedgerSlopes prints 373 for claims in batches of one. */
  public static final int ENTRY_BYTES = 400;

  /** Heap bytes counted for an outcome beside its body: LedgerSlopes prints 109. */
  public static final int OUTCOME_BYTES = 128;

  private final long windowMillis;
  private final long futureMillis;
  private final long maxBytes;
  private final Map<Digest256, Entry> entries = new HashMap<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::timeMillis));
  private final ArrayDeque<Entry> keptBodies = new ArrayDeque<>();
  private long bytes;
  private long newestTimeMillis = Long.MIN_VALUE;
  private long historyFloorMillis = Long.MAX_VALUE;
  private long droppedKeyMillis = Long.MIN_VALUE;
  private boolean awaitingFirstEntry;

  /** What a claim record meant at its position. */
  public enum Verdict {
    /** The first valid claim of a key that was free. */
    WON,
    /** Another claim holds or settled the key. */
    LOST,
    /** The claim was seen before. */
    REPEATED,
    /** The claim was released before this copy of it appeared. */
    RELEASED,
    /** The key's time lies outside the window around the claim's time. */
    OUT_OF_WINDOW,
    /** The record is not a claim. */
    NOT_A_CLAIM
  }

  private record Expiry(long timeMillis, Digest256 key) {}

  private static final class Entry {
    private final Digest256 key;
    private long expiresMillis = Long.MIN_VALUE;
    private ClaimView view;
    private List<ClaimId> released = List.of();

    private Entry(Digest256 key) {
      this.key = key;
    }

    private boolean heldBy(ClaimId claim) {
      return view != null && view.holder().equals(claim);
    }
  }

  /**
   * Creates an empty table that has read nothing.
   *
   * @param windowMillis how far a key's time may lie before its claim
   * @param futureMillis how far a key's time may lie after its claim
   * @param maxBytes bound of the table
   */
  public ClaimTable(long windowMillis, long futureMillis, long maxBytes) {
    this.windowMillis = windowMillis;
    this.futureMillis = futureMillis;
    this.maxBytes = maxBytes;
  }

  /**
   * Forgets everything and starts to read at an offset.
   *
   * @param offset first offset that will be read; nothing precedes offset 0
   */
  public void restart(long offset) {
    entries.clear();
    expiries.clear();
    keptBodies.clear();
    bytes = 0;
    droppedKeyMillis = Long.MIN_VALUE;
    historyFloorMillis = offset == 0 ? Long.MIN_VALUE : Long.MAX_VALUE;
    awaitingFirstEntry = offset != 0;
  }

  /**
   * Notes that an entry is about to be applied. Entries before the first one that is read are at
   * most as new as it, which bounds what the table can have missed.
   *
   * @param timeMillis the entry's log time
   */
  public void beginEntry(long timeMillis) {
    if (awaitingFirstEntry) {
      awaitingFirstEntry = false;
      historyFloorMillis = timeMillis;
    }
    advanceTime(timeMillis);
  }

  /**
   * Advances the newest time that the log reported and drops what left the window.
   *
   * @param timeMillis a time reported by the log
   */
  public void advanceTime(long timeMillis) {
    if (timeMillis <= newestTimeMillis) {
      return;
    }
    newestTimeMillis = timeMillis;
    while (!expiries.isEmpty() && expiries.peek().timeMillis() < newestTimeMillis) {
      removeOldest();
    }
  }

  /**
   * Applies one record at its position.
   *
   * @param claimRecord the record
   * @param timeMillis log time of the entry that holds it
   * @return what a claim meant, or {@link Verdict#NOT_A_CLAIM}
   */
  public Verdict apply(ClaimRecord claimRecord, long timeMillis) {
    Verdict verdict =
        switch (claimRecord) {
          case ClaimRecord.Claimed claimed -> claimed(claimed, timeMillis);
          case ClaimRecord.Released released -> released(released, timeMillis);
          case ClaimRecord.Completed settled -> settled(settled);
          case ClaimRecord.OutcomeUnknown unknown -> unknown(unknown);
          case ClaimRecord.TimeMark mark -> Verdict.NOT_A_CLAIM;
        };
    keepWithinBytes();
    return verdict;
  }

  /**
   * What the log says about a key.
   *
   * @param key digest of scope and key
   * @return empty when the key is free as far as the table knows
   */
  public Optional<ClaimView> find(Digest256 key) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.view);
  }

  /**
   * Whether every valid claim of a key is known up to the position that was read.
   *
   * @param keyTimeMillis time embedded in the key
   * @return false when a claim of the key may be missing
   */
  public boolean isCompleteFor(long keyTimeMillis) {
    return keyTimeMillis > droppedKeyMillis
        && (historyFloorMillis == Long.MIN_VALUE
            || keyTimeMillis - futureMillis > historyFloorMillis);
  }

  /**
   * Whether a key of this time may be claimed at a log time.
   *
   * @param keyTimeMillis time embedded in the key
   * @param logTimeMillis time of the claim by the log
   * @return true inside the window
   */
  public boolean isInWindow(long keyTimeMillis, long logTimeMillis) {
    return keyTimeMillis >= logTimeMillis - windowMillis
        && keyTimeMillis <= logTimeMillis + futureMillis;
  }

  /**
   * Newest time that the log reported.
   *
   * @return milliseconds, or {@link Long#MIN_VALUE} before the first report
   */
  public long newestTimeMillis() {
    return newestTimeMillis;
  }

  /**
   * Keys in the table.
   *
   * @return a count
   */
  public int size() {
    return entries.size();
  }

  /**
   * Bytes counted against the bound.
   *
   * @return bytes
   */
  public long bytes() {
    return bytes;
  }

  private Verdict claimed(ClaimRecord.Claimed claimed, long timeMillis) {
    if (!isInWindow(claimed.keyTimeMillis(), timeMillis)) {
      return Verdict.OUT_OF_WINDOW;
    }
    Entry entry = entries.get(claimed.key());
    if (entry != null && entry.released.contains(claimed.claim())) {
      return Verdict.RELEASED;
    }
    if (entry != null && entry.heldBy(claimed.claim())) {
      return Verdict.REPEATED;
    }
    if (entry != null && entry.view != null) {
      return Verdict.LOST;
    }
    Entry free = entry == null ? create(claimed.key()) : entry;
    free.view = new ClaimView(ClaimView.State.HELD, claimed.claim(), claimed.bodyDigest(), null);
    extend(free, claimed.keyTimeMillis() + windowMillis);
    return Verdict.WON;
  }

  /** A release is kept even when its claim was not seen: the claim may still take effect late. */
  private Verdict released(ClaimRecord.Released released, long timeMillis) {
    Entry entry = entries.get(released.key());
    boolean held = entry != null && entry.heldBy(released.claim());
    if (held && entry.view.state() != ClaimView.State.HELD) {
      return Verdict.NOT_A_CLAIM;
    }
    Entry target = entry == null ? create(released.key()) : entry;
    if (!target.released.contains(released.claim())) {
      List<ClaimId> all = new ArrayList<>(target.released);
      all.add(released.claim());
      target.released = List.copyOf(all);
      bytes += ENTRY_BYTES / 4;
    }
    if (held) {
      target.view = null;
    }
    extend(target, timeMillis + futureMillis + windowMillis);
    return Verdict.NOT_A_CLAIM;
  }

  private Verdict settled(ClaimRecord.Completed settled) {
    Entry entry = entries.get(settled.key());
    if (entry == null
        || !entry.heldBy(settled.claim())
        || entry.view.state() == ClaimView.State.COMPLETED) {
      return Verdict.NOT_A_CLAIM;
    }
    CallOutcome outcome = settled.outcome();
    entry.view =
        new ClaimView(
            ClaimView.State.COMPLETED, entry.view.holder(), entry.view.bodyDigest(), outcome);
    bytes += OUTCOME_BYTES + outcome.body().length;
    if (outcome.bodyKept()) {
      keptBodies.add(entry);
    }
    return Verdict.NOT_A_CLAIM;
  }

  private Verdict unknown(ClaimRecord.OutcomeUnknown unknown) {
    Entry entry = entries.get(unknown.key());
    if (entry != null
        && entry.heldBy(unknown.claim())
        && entry.view.state() == ClaimView.State.HELD) {
      entry.view =
          new ClaimView(
              ClaimView.State.OUTCOME_UNKNOWN, entry.view.holder(), entry.view.bodyDigest(), null);
    }
    return Verdict.NOT_A_CLAIM;
  }

  private Entry create(Digest256 key) {
    Entry entry = new Entry(key);
    entries.put(key, entry);
    bytes += ENTRY_BYTES;
    return entry;
  }

  private void extend(Entry entry, long expiresMillis) {
    if (expiresMillis <= entry.expiresMillis) {
      return;
    }
    boolean queued = entry.expiresMillis != Long.MIN_VALUE;
    entry.expiresMillis = expiresMillis;
    if (!queued) {
      expiries.add(new Expiry(expiresMillis, entry.key));
    }
  }

  /** Removes the entry that expires first, or queues it again when its expiry was extended. */
  private void removeOldest() {
    Expiry oldest = expiries.remove();
    Entry entry = entries.get(oldest.key());
    if (entry.expiresMillis > oldest.timeMillis()) {
      expiries.add(new Expiry(entry.expiresMillis, entry.key));
      return;
    }
    entries.remove(oldest.key());
    bytes -= ENTRY_BYTES + entry.released.size() * (ENTRY_BYTES / 4L);
    if (entry.view != null && Objects.nonNull(entry.view.outcome())) {
      bytes -= OUTCOME_BYTES + entry.view.outcome().body().length;
    }
    while (!keptBodies.isEmpty() && entries.get(keptBodies.peek().key) != keptBodies.peek()) {
      keptBodies.remove();
    }
  }

  private void keepWithinBytes() {
    while (bytes > maxBytes && !keptBodies.isEmpty()) {
      dropOldestBody();
    }
    while (bytes > maxBytes && !expiries.isEmpty()) {
      long expiresMillis = expiries.peek().timeMillis();
      int before = entries.size();
      removeOldest();
      if (entries.size() < before) {
        droppedKeyMillis = Math.max(droppedKeyMillis, expiresMillis - windowMillis);
      }
    }
  }

  private void dropOldestBody() {
    Entry entry = keptBodies.remove();
    if (entries.get(entry.key) != entry) {
      return;
    }
    CallOutcome outcome = entry.view.outcome();
    bytes -= outcome.body().length;
    entry.view =
        new ClaimView(
            ClaimView.State.COMPLETED,
            entry.view.holder(),
            entry.view.bodyDigest(),
            outcome.withoutBody());
  }
}

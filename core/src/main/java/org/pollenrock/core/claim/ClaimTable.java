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
 * State of every recently claimed key. The state is a pure function of the part of the log that was
 * read, so all routers reach the same result.
 *
 * <p>The key window limits how long an entry is kept, and a maximum size limits the memory. When
 * the table exceeds that size, the bodies of outcomes are dropped first, oldest first, and then
 * whole entries in the order of their expiry. Keys that are at least as old as a dropped entry are
 * no longer complete and must be refused.
 */
public final class ClaimTable {
  /** Heap bytes counted per entry; LedgerSlopes prints 373 for claims in batches of one. */
  public static final int ENTRY_BYTES = 400;

  /** Heap bytes counted per outcome without its body; LedgerSlopes prints 109. */
  public static final int OUTCOME_BYTES = 128;

  private final long windowMillis;
  private final long futureToleranceMillis;
  private final long maxBytes;
  private final Map<Digest256, Entry> entries = new HashMap<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::timeMillis));
  private final ArrayDeque<Entry> entriesWithBody = new ArrayDeque<>();
  private long bytes;
  private long newestTimeMillis = Long.MIN_VALUE;
  // Upper bound of the log time of all entries before the first one that was read.
  private long maxMissedEntryMillis = Long.MAX_VALUE;
  // Newest key time that an entry dropped for lack of memory can have.
  private long newestDroppedKeyMillis = Long.MIN_VALUE;
  private boolean awaitingFirstEntry;

  /** Effect of a record at its position in the log. */
  public enum RecordResult {
    /** The claim is the first valid claim of a free key and now holds the key. */
    WON,
    /** Another claim holds the key; its call may have run already. */
    LOST,
    /** The record is a further copy of the claim that holds the key. */
    REPEATED,
    /** The claim was released before this copy of it was read. */
    RELEASED,
    /** The key's time lies outside the key window around the log time of the claim. */
    OUT_OF_WINDOW,
    /** The record is not a claim. */
    NOT_A_CLAIM
  }

  /** Time at which the entry of a key may expire; the entry may have been extended since. */
  private record Expiry(long timeMillis, Digest256 key) {}

  /** State of one key; the view is null while no claim holds the key. */
  private static final class Entry {
    private final Digest256 key;
    private long expiresMillis = Long.MIN_VALUE;
    private ClaimView view;
    private List<ClaimId> releasedClaims = List.of();

    private Entry(Digest256 key) {
      this.key = key;
    }

    private boolean isHeldBy(ClaimId claim) {
      return view != null && view.holder().equals(claim);
    }
  }

  /**
   * Creates an empty table. {@link #restart} must be called before the first entry is applied.
   *
   * @param windowMillis how far a key's time may lie before the log time of its claim
   * @param futureToleranceMillis how far a key's time may lie after the log time of its claim
   * @param maxBytes maximum size of the table, in estimated heap bytes
   */
  public ClaimTable(long windowMillis, long futureToleranceMillis, long maxBytes) {
    this.windowMillis = windowMillis;
    this.futureToleranceMillis = futureToleranceMillis;
    this.maxBytes = maxBytes;
  }

  /**
   * Clears the table before the log is read from an offset on.
   *
   * @param offset offset of the first entry to be read; no entry precedes offset 0
   */
  public void restart(long offset) {
    entries.clear();
    expiries.clear();
    entriesWithBody.clear();
    bytes = 0;
    newestDroppedKeyMillis = Long.MIN_VALUE;
    maxMissedEntryMillis = offset == 0 ? Long.MIN_VALUE : Long.MAX_VALUE;
    awaitingFirstEntry = offset != 0;
  }

  /**
   * Prepares the table for the records of an entry. The log time of the first entry that is read is
   * an upper bound of the log times of all earlier entries, which the table has missed.
   *
   * @param timeMillis log time of the entry
   */
  public void beginEntry(long timeMillis) {
    if (awaitingFirstEntry) {
      awaitingFirstEntry = false;
      maxMissedEntryMillis = timeMillis;
    }
    advanceTime(timeMillis);
  }

  /**
   * Advances the newest log time and removes the entries that have expired.
   *
   * @param timeMillis time that the log reported; ignored when it is not newer
   */
  public void advanceTime(long timeMillis) {
    if (timeMillis <= newestTimeMillis) {
      return;
    }
    newestTimeMillis = timeMillis;
    while (!expiries.isEmpty() && expiries.peek().timeMillis() < newestTimeMillis) {
      processNextExpiry();
    }
  }

  /**
   * Applies a record; records must be applied in the order of the log.
   *
   * @param claimRecord the record
   * @param timeMillis log time of the entry that holds it
   * @return effect of a claim, or {@link RecordResult#NOT_A_CLAIM} for other records
   */
  public RecordResult apply(ClaimRecord claimRecord, long timeMillis) {
    RecordResult result =
        switch (claimRecord) {
          case ClaimRecord.Claimed claimed -> applyClaimed(claimed, timeMillis);
          case ClaimRecord.Released released -> applyReleased(released, timeMillis);
          case ClaimRecord.Completed completed -> applyCompleted(completed);
          case ClaimRecord.OutcomeUnknown outcomeUnknown -> applyOutcomeUnknown(outcomeUnknown);
          case ClaimRecord.TimeMark timeMark -> RecordResult.NOT_A_CLAIM;
        };
    enforceByteLimit();
    return result;
  }

  /**
   * Returns the state of a key according to the entries that were read.
   *
   * @param key digest of customer, service and idempotency key
   * @return the state, or empty when no known claim holds the key
   */
  public Optional<ClaimView> find(Digest256 key) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.view);
  }

  /**
   * Returns whether the table knows every valid claim of a key up to the position that was read.
   *
   * @param keyTimeMillis time embedded in the key
   * @return false when a claim of the key may be missing
   */
  public boolean isCompleteFor(long keyTimeMillis) {
    return keyTimeMillis > newestDroppedKeyMillis
        && (maxMissedEntryMillis == Long.MIN_VALUE
            || keyTimeMillis - futureToleranceMillis > maxMissedEntryMillis);
  }

  /**
   * Returns whether a key may be claimed at a log time.
   *
   * @param keyTimeMillis time embedded in the key
   * @param logTimeMillis log time of the claim
   * @return true if the key's time lies inside the key window around the log time
   */
  public boolean isInWindow(long keyTimeMillis, long logTimeMillis) {
    return keyTimeMillis >= logTimeMillis - windowMillis
        && keyTimeMillis <= logTimeMillis + futureToleranceMillis;
  }

  /**
   * Returns the newest time that the log reported.
   *
   * @return milliseconds, or {@link Long#MIN_VALUE} before the first report
   */
  public long newestTimeMillis() {
    return newestTimeMillis;
  }

  /**
   * Returns the number of keys in the table.
   *
   * @return a count
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the estimated size that is compared with the maximum.
   *
   * @return heap bytes
   */
  public long bytes() {
    return bytes;
  }

  private RecordResult applyClaimed(ClaimRecord.Claimed claimed, long timeMillis) {
    if (!isInWindow(claimed.keyTimeMillis(), timeMillis)) {
      return RecordResult.OUT_OF_WINDOW;
    }
    Entry entry = entries.get(claimed.key());
    if (entry != null && entry.releasedClaims.contains(claimed.claim())) {
      return RecordResult.RELEASED;
    }
    if (entry != null && entry.isHeldBy(claimed.claim())) {
      return RecordResult.REPEATED;
    }
    if (entry != null && entry.view != null) {
      return RecordResult.LOST;
    }
    Entry target = entry == null ? create(claimed.key()) : entry;
    target.view = new ClaimView(ClaimView.State.HELD, claimed.claim(), claimed.bodyDigest(), null);
    extendExpiry(target, claimed.keyTimeMillis() + windowMillis);
    return RecordResult.WON;
  }

  /** Records a release even for a claim that was not read: the claim may still be appended late. */
  private RecordResult applyReleased(ClaimRecord.Released released, long timeMillis) {
    Entry entry = entries.get(released.key());
    boolean held = entry != null && entry.isHeldBy(released.claim());
    if (held && entry.view.state() != ClaimView.State.HELD) {
      return RecordResult.NOT_A_CLAIM;
    }
    Entry target = entry == null ? create(released.key()) : entry;
    if (!target.releasedClaims.contains(released.claim())) {
      List<ClaimId> claims = new ArrayList<>(target.releasedClaims);
      claims.add(released.claim());
      target.releasedClaims = List.copyOf(claims);
      bytes += ENTRY_BYTES / 4;
    }
    if (held) {
      target.view = null;
    }
    extendExpiry(target, timeMillis + futureToleranceMillis + windowMillis);
    return RecordResult.NOT_A_CLAIM;
  }

  private RecordResult applyCompleted(ClaimRecord.Completed completed) {
    Entry entry = entries.get(completed.key());
    if (entry == null
        || !entry.isHeldBy(completed.claim())
        || entry.view.state() == ClaimView.State.COMPLETED) {
      return RecordResult.NOT_A_CLAIM;
    }
    CallOutcome outcome = completed.outcome();
    entry.view =
        new ClaimView(
            ClaimView.State.COMPLETED, entry.view.holder(), entry.view.bodyDigest(), outcome);
    bytes += OUTCOME_BYTES + outcome.body().length;
    if (outcome.bodyKept()) {
      entriesWithBody.add(entry);
    }
    return RecordResult.NOT_A_CLAIM;
  }

  private RecordResult applyOutcomeUnknown(ClaimRecord.OutcomeUnknown outcomeUnknown) {
    Entry entry = entries.get(outcomeUnknown.key());
    if (entry != null
        && entry.isHeldBy(outcomeUnknown.claim())
        && entry.view.state() == ClaimView.State.HELD) {
      entry.view =
          new ClaimView(
              ClaimView.State.OUTCOME_UNKNOWN, entry.view.holder(), entry.view.bodyDigest(), null);
    }
    return RecordResult.NOT_A_CLAIM;
  }

  private Entry create(Digest256 key) {
    Entry entry = new Entry(key);
    entries.put(key, entry);
    bytes += ENTRY_BYTES;
    return entry;
  }

  /** Moves the expiry of an entry to a later time. */
  private void extendExpiry(Entry entry, long expiresMillis) {
    if (expiresMillis <= entry.expiresMillis) {
      return;
    }
    boolean queued = entry.expiresMillis != Long.MIN_VALUE;
    entry.expiresMillis = expiresMillis;
    if (!queued) {
      expiries.add(new Expiry(expiresMillis, entry.key));
    }
  }

  /** Removes the entry with the earliest queued expiry, or queues it again if it was extended. */
  private void processNextExpiry() {
    Expiry oldest = expiries.remove();
    Entry entry = entries.get(oldest.key());
    if (entry.expiresMillis > oldest.timeMillis()) {
      expiries.add(new Expiry(entry.expiresMillis, entry.key));
      return;
    }
    entries.remove(oldest.key());
    bytes -= ENTRY_BYTES + entry.releasedClaims.size() * (ENTRY_BYTES / 4L);
    if (entry.view != null && Objects.nonNull(entry.view.outcome())) {
      bytes -= OUTCOME_BYTES + entry.view.outcome().body().length;
    }
    while (!entriesWithBody.isEmpty()
        && entries.get(entriesWithBody.peek().key) != entriesWithBody.peek()) {
      entriesWithBody.remove();
    }
  }

  /** Drops bodies and then entries until the table is within its maximum size. */
  private void enforceByteLimit() {
    while (bytes > maxBytes && !entriesWithBody.isEmpty()) {
      dropOldestBody();
    }
    while (bytes > maxBytes && !expiries.isEmpty()) {
      long expiresMillis = expiries.peek().timeMillis();
      int before = entries.size();
      processNextExpiry();
      if (entries.size() < before) {
        newestDroppedKeyMillis = Math.max(newestDroppedKeyMillis, expiresMillis - windowMillis);
      }
    }
  }

  private void dropOldestBody() {
    Entry entry = entriesWithBody.remove();
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

package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;

/**
 * State of all leases, derived only from the records of the log and their log times.
 *
 * <p>A table that starts reading after the beginning of the log does not know the leases that were
 * granted earlier. In this case it grants a request only when the leases of all other owners must
 * have expired, both of those that it has read requests from and of those in the entries that it
 * could not read. A table that knows the complete history grants the request at the same record.
 */
public final class LeaseTable {
  /** Maximum duration of a lease; a longer duration in a record is reduced to this value. */
  public static final long MAX_DURATION_MILLIS = 60_000;

  /**
   * Number of groups above which expired ones are removed. Groups come from settings and are few.
   */
  public static final int GROUPS_BEFORE_SWEEP = 1024;

  private final LeaseCodec codec = new LeaseCodec();
  private final Map<String, Group> groups = new HashMap<>();
  private long nextOffset = -1;

  // Log time of the first entry that was read, or MIN_VALUE if no earlier entry is missing.
  private long historyStartMillis = Long.MIN_VALUE;
  private boolean awaitingFirstEntry;
  private long newestLogTimeMillis = Long.MIN_VALUE;

  /** RecordResult of a record at its position in the log. */
  public enum RecordResult {
    /** The owner did not hold the lease before and holds it now. */
    GRANTED,
    /** The owner already held the lease, and its expiry was extended. */
    RENEWED,
    /** Another owner holds the lease, or a release came from an owner that does not hold it. */
    REFUSED,
    /** The known history is too short to decide; no router may act on the record. */
    UNCERTAIN,
    /** The owner released the lease. */
    RELEASED
  }

  /**
   * Record that the table has applied, with its result.
   *
   * @param leaseRecord the record
   * @param result result of the record
   * @param timeMillis log time of the record
   * @param lease the lease of the group after the record, possibly already expired; empty if there
   *     is none or the state is uncertain
   */
  public record AppliedRecord(
      LeaseRecord leaseRecord, RecordResult result, long timeMillis, Optional<Lease> lease) {}

  /** State of one lease group. */
  private static final class Group {
    private Lease lease;
    private boolean stateKnown;
    // Log time of the newest request of each owner, kept while the state is not known.
    private final Map<LeaseOwner, Long> lastAcquireMillis = new HashMap<>();
  }

  /**
   * Applies the result of reading the lease stream. If it starts after {@link #nextOffset}, the log
   * has dropped entries that were not read, and the table discards its state.
   *
   * @param read the result of the read
   * @return the records that had not been applied before, with their results
   */
  public List<AppliedRecord> apply(LogReadResult read) {
    if (nextOffset < 0 || read.startOffset() > nextOffset) {
      reset(read.startOffset());
    }
    List<AppliedRecord> applied = new ArrayList<>();
    for (LogEntry entry : read.entries()) {
      if (entry.offset() >= nextOffset) {
        applyEntry(entry, applied);
      }
    }
    if (read.headOffset() >= nextOffset) {
      newestLogTimeMillis = Math.max(newestLogTimeMillis, read.headTimeMillis());
    }
    return applied;
  }

  /**
   * Returns the lease of a group that is in force at the newest log time known.
   *
   * @param group name of the group
   * @return the lease, or empty if the group is free or its state is uncertain
   */
  public Optional<Lease> currentLease(String group) {
    Group state = groups.get(group);
    if (state == null || state.lease == null) {
      return Optional.empty();
    }
    return Optional.of(state.lease).filter(lease -> newestLogTimeMillis < lease.expiresMillis());
  }

  /**
   * Returns the offset from which the lease stream must be read next.
   *
   * @return the log offset; 0 before the first read
   */
  public long nextOffset() {
    return Math.max(0, nextOffset);
  }

  /**
   * Returns the codec that decodes the lease stream, for access to its counters.
   *
   * @return the codec
   */
  public LeaseCodec codec() {
    return codec;
  }

  /**
   * Returns the number of groups in the table.
   *
   * @return the count
   */
  public int groupCount() {
    return groups.size();
  }

  private void reset(long offset) {
    nextOffset = offset;
    groups.clear();
    historyStartMillis = Long.MIN_VALUE;
    awaitingFirstEntry = offset != 0;
  }

  private void applyEntry(LogEntry entry, List<AppliedRecord> applied) {
    nextOffset = entry.offset() + 1;
    newestLogTimeMillis = Math.max(newestLogTimeMillis, entry.timeMillis());
    if (awaitingFirstEntry) {
      awaitingFirstEntry = false;
      historyStartMillis = entry.timeMillis();
    }
    for (LeaseRecord leaseRecord : codec.decode(entry.data())) {
      RecordResult result = apply(leaseRecord, entry);
      Optional<Lease> lease = Optional.ofNullable(groups.get(leaseRecord.group()).lease);
      applied.add(new AppliedRecord(leaseRecord, result, entry.timeMillis(), lease));
    }
    if (groups.size() > GROUPS_BEFORE_SWEEP) {
      sweep();
    }
  }

  private RecordResult apply(LeaseRecord leaseRecord, LogEntry entry) {
    Group group = groups.computeIfAbsent(leaseRecord.group(), name -> new Group());
    return switch (leaseRecord) {
      case LeaseRecord.Acquire acquire -> acquire(group, acquire, entry);
      case LeaseRecord.Release release -> release(group, release);
    };
  }

  private RecordResult acquire(Group group, LeaseRecord.Acquire acquire, LogEntry entry) {
    long timeMillis = entry.timeMillis();
    group.lastAcquireMillis.put(acquire.owner(), timeMillis);
    if (!group.stateKnown && !otherOwnersExpired(group, acquire.owner(), timeMillis)) {
      return RecordResult.UNCERTAIN;
    }
    group.stateKnown = true;
    group.lastAcquireMillis.clear();
    boolean held = group.lease != null && timeMillis < group.lease.expiresMillis();
    boolean own = held && group.lease.owner().equals(acquire.owner());
    if (held && !own) {
      return RecordResult.REFUSED;
    }
    long durationMillis = Math.clamp(acquire.durationMillis(), 0L, MAX_DURATION_MILLIS);
    group.lease =
        new Lease(acquire.owner(), new FencingNumber(entry.offset()), timeMillis + durationMillis);
    return own ? RecordResult.RENEWED : RecordResult.GRANTED;
  }

  /**
   * Returns whether every lease of another owner must have expired: leases granted before the first
   * entry that this table read, and leases requested since then.
   */
  private boolean otherOwnersExpired(Group group, LeaseOwner owner, long timeMillis) {
    if (historyStartMillis != Long.MIN_VALUE
        && timeMillis - historyStartMillis < MAX_DURATION_MILLIS) {
      return false;
    }
    return group.lastAcquireMillis.entrySet().stream()
        .filter(acquire -> !acquire.getKey().equals(owner))
        .allMatch(acquire -> timeMillis - acquire.getValue() >= MAX_DURATION_MILLIS);
  }

  private static RecordResult release(Group group, LeaseRecord.Release release) {
    if (group.lease == null || !group.lease.owner().equals(release.owner())) {
      return RecordResult.REFUSED;
    }
    group.lease = null;
    return RecordResult.RELEASED;
  }

  /**
   * Removes groups of known state that are free or whose lease expired at least the maximum
   * duration ago. Such a group is equivalent to one that was never read.
   */
  private void sweep() {
    groups
        .values()
        .removeIf(
            group ->
                group.stateKnown
                    && (group.lease == null
                        || newestLogTimeMillis - group.lease.expiresMillis()
                            >= MAX_DURATION_MILLIS));
  }
}

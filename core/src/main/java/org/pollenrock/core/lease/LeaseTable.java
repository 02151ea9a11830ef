package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;

/**
 * State of every lease: a pure function of the log.
 *
 * <p>A table that starts behind the log's oldest entry does not know the leases granted before. It
 * then accepts a request only when every other owner that it saw, and any that it cannot have seen,
 * must have expired; at that record the complete history grants the request as well.
 */
public final class LeaseTable {
  /** Longest duration of a lease; a longer one in a record counts as this. */
  public static final long MAX_DURATION_MILLIS = 60_000;

  /** Groups above which expired ones are removed; groups come from settings and are few. */
  public static final int GROUPS_BEFORE_SWEEP = 1024;

  private final LeaseCodec codec = new LeaseCodec();
  private final Map<String, Group> groups = new HashMap<>();
  private long nextOffset = -1;
  private long horizonMillis = Long.MIN_VALUE;
  private boolean awaitingFirstEntry;
  private long newestTimeMillis = Long.MIN_VALUE;

  /** What a record meant at its position. */
  public enum Result {
    /** The owner holds the lease now and did not before. */
    GRANTED,
    /** The owner held the lease and holds it longer. */
    RENEWED,
    /** Another owner holds the lease. */
    REFUSED,
    /** The history is too short to tell; nobody may act on the record. */
    UNCERTAIN,
    /** The owner gave the lease up. */
    RELEASED
  }

  /**
   * A record and what it meant.
   *
   * @param leaseRecord the record
   * @param result what it meant
   * @param timeMillis log time of the record
   * @param lease the lease of the group after the record, or empty when it is free or uncertain
   */
  public record AppliedRecord(
      LeaseRecord leaseRecord, Result result, long timeMillis, Optional<Lease> lease) {}

  private static final class Group {
    private Lease lease;
    private boolean certain;
    private final Map<LeaseOwner, Long> lastSeen = new HashMap<>();
  }

  /**
   * Applies a read of the lease stream. A read that starts beyond {@link #nextOffset} means that
   * the log dropped entries; what was known is forgotten.
   *
   * @param read the response
   * @return the records that were new, with what they meant
   */
  public List<AppliedRecord> apply(LogReadResult read) {
    if (nextOffset < 0 || read.startOffset() > nextOffset) {
      restart(read.startOffset());
    }
    List<AppliedRecord> applied = new ArrayList<>();
    for (LogEntry entry : read.entries()) {
      if (entry.offset() >= nextOffset) {
        applyEntry(entry, applied);
      }
    }
    if (read.headOffset() >= nextOffset) {
      newestTimeMillis = Math.max(newestTimeMillis, read.headTimeMillis());
    }
    return applied;
  }

  /**
   * The lease of a group by the newest time that the log reported.
   *
   * @param group name of the group
   * @return empty when the group is free or its state is uncertain
   */
  public Optional<Lease> currentLease(String group) {
    Group state = groups.get(group);
    if (state == null || state.lease == null) {
      return Optional.empty();
    }
    return Optional.of(state.lease).filter(lease -> newestTimeMillis < lease.expiresMillis());
  }

  /**
   * Offset from which the log is to be read next.
   *
   * @return an offset; 0 before the first read
   */
  public long nextOffset() {
    return Math.max(0, nextOffset);
  }

  /**
   * Decoder of the lease stream, for its counters.
   *
   * @return the codec
   */
  public LeaseCodec codec() {
    return codec;
  }

  /**
   * Groups that are kept.
   *
   * @return a count
   */
  public int groupCount() {
    return groups.size();
  }

  private void restart(long offset) {
    nextOffset = offset;
    groups.clear();
    horizonMillis = Long.MIN_VALUE;
    awaitingFirstEntry = offset != 0;
  }

  private void applyEntry(LogEntry entry, List<AppliedRecord> applied) {
    nextOffset = entry.offset() + 1;
    newestTimeMillis = Math.max(newestTimeMillis, entry.timeMillis());
    if (awaitingFirstEntry) {
      awaitingFirstEntry = false;
      horizonMillis = entry.timeMillis();
    }
    for (LeaseRecord leaseRecord : codec.decode(entry.data())) {
      Result verdict = apply(leaseRecord, entry);
      Optional<Lease> lease = Optional.ofNullable(groups.get(leaseRecord.group()).lease);
      applied.add(new AppliedRecord(leaseRecord, verdict, entry.timeMillis(), lease));
    }
    if (groups.size() > GROUPS_BEFORE_SWEEP) {
      sweep();
    }
  }

  private Result apply(LeaseRecord leaseRecord, LogEntry entry) {
    Group group = groups.computeIfAbsent(leaseRecord.group(), name -> new Group());
    return switch (leaseRecord) {
      case LeaseRecord.Acquire acquire -> acquire(group, acquire, entry);
      case LeaseRecord.Release release -> release(group, release);
    };
  }

  private Result acquire(Group group, LeaseRecord.Acquire acquire, LogEntry entry) {
    long time = entry.timeMillis();
    group.lastSeen.put(acquire.owner(), time);
    if (!group.certain && !othersExpired(group, acquire.owner(), time)) {
      return Result.UNCERTAIN;
    }
    group.certain = true;
    group.lastSeen.clear();
    boolean held = group.lease != null && time < group.lease.expiresMillis();
    boolean own = held && group.lease.owner().equals(acquire.owner());
    if (held && !own) {
      return Result.REFUSED;
    }
    long duration = Math.clamp(acquire.durationMillis(), 0L, MAX_DURATION_MILLIS);
    group.lease = new Lease(acquire.owner(), new FencingNumber(entry.offset()), time + duration);
    return own ? Result.RENEWED : Result.GRANTED;
  }

  private boolean othersExpired(Group group, LeaseOwner owner, long timeMillis) {
    if (horizonMillis != Long.MIN_VALUE && timeMillis - horizonMillis < MAX_DURATION_MILLIS) {
      return false;
    }
    return group.lastSeen.entrySet().stream()
        .filter(seen -> !seen.getKey().equals(owner))
        .allMatch(seen -> timeMillis - seen.getValue() >= MAX_DURATION_MILLIS);
  }

  private static Result release(Group group, LeaseRecord.Release release) {
    if (group.lease == null || !group.lease.owner().equals(release.owner())) {
      return Result.REFUSED;
    }
    group.lease = null;
    return Result.RELEASED;
  }

  /** A group without a lease for the longest duration is as good as never seen. */
  private void sweep() {
    groups
        .values()
        .removeIf(
            group ->
                group.certain
                    && (group.lease == null
                        || newestTimeMillis - group.lease.expiresMillis() >= MAX_DURATION_MILLIS));
  }
}

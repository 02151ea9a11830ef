package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Accepts changes in the order of the log.
 *
 * <p>The state after the records below an offset depends on those records alone, however they were
 * cut into reads and whether some were replaced by a snapshot. The state never moves to an earlier
 * offset. When the log no longer holds the next record, the history reads on only to find a
 * snapshot that covers the lost ones.
 */
public final class SettingsHistory {
  /** Revision before the first accepted change. */
  public static final long NO_REVISION = -1;

  /**
   * Number of change records whose outcome is remembered. Changes with a base below the last
   * forgotten one are refused, so a repetition of a forgotten change cannot take effect.
   */
  public static final int MAX_REMEMBERED = 4_096;

  /** Greatest size of an encoded tree in bytes; a snapshot of it stays readable. */
  public static final long MAX_TREE_BYTES = 16L * 1024 * 1024;

  /** Number of changed paths that are remembered; beyond it the oldest changes are forgotten. */
  public static final int MAX_PATHS = 16_384;

  private static final int SHOWN_PROBLEMS = 3;

  private final LinkedHashMap<UUID, ChangeOutcome> outcomes = new LinkedHashMap<>();
  private final PathRevisions pathRevisions = new PathRevisions();
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private SettingsTree tree = SettingsTree.EMPTY;
  private StateDigest digest = StateDigest.EMPTY;
  private long revision = NO_REVISION;
  private long next;
  private long horizon = NO_REVISION;
  private long logFirst;
  private long scan;
  private SnapshotMark lastSnapshot = SnapshotMark.NONE;
  private long changesSinceSnapshot;
  private long corruptRecords;
  private long unsupportedRecords;
  private long rejectedSnapshots;

  /**
   * The tree in force.
   *
   * @return the tree
   */
  public SettingsTree tree() {
    return tree;
  }

  /**
   * Offset of the last accepted change.
   *
   * @return the revision, {@link #NO_REVISION} before the first
   */
  public long revision() {
    return revision;
  }

  /**
   * Digest of the tree in force.
   *
   * @return the digest
   */
  public StateDigest digest() {
    return digest;
  }

  /**
   * Offset after the records that the state covers.
   *
   * @return the offset
   */
  public long next() {
    return next;
  }

  /**
   * Least base that a change may have.
   *
   * @return an offset, {@link #NO_REVISION} when none was forgotten
   */
  public long horizon() {
    return horizon;
  }

  /**
   * Whether records were lost to retention and no snapshot that covers them was found yet.
   *
   * @return true while a snapshot is needed from the log or a peer
   */
  public boolean awaitsSnapshot() {
    return next < logFirst;
  }

  /**
   * Where to read the log next.
   *
   * @return an offset
   */
  public long readFrom() {
    return awaitsSnapshot() ? Math.max(scan, logFirst) : next;
  }

  /**
   * Records of this stream that could not be decoded.
   *
   * @return the count since the start
   */
  public long corruptRecords() {
    return corruptRecords;
  }

  /**
   * Records of a later format.
   *
   * @return the count since the start
   */
  public long unsupportedRecords() {
    return unsupportedRecords;
  }

  /**
   * Complete snapshots that were not usable: corrupt, not valid, or contrary to the own state.
   *
   * @return the count since the start
   */
  public long rejectedSnapshots() {
    return rejectedSnapshots;
  }

  /**
   * The last complete snapshot on the log.
   *
   * @return offset and time, or {@link SnapshotMark#NONE}
   */
  public SnapshotMark lastSnapshot() {
    return lastSnapshot;
  }

  /**
   * Change records read since the last complete snapshot.
   *
   * @return the count
   */
  public long changesSinceSnapshot() {
    return changesSinceSnapshot;
  }

  /**
   * What became of a change.
   *
   * @param id identity of the change
   * @return its outcome, when it was read and is remembered
   */
  public Optional<ChangeOutcome> outcomeOf(UUID id) {
    return Optional.ofNullable(outcomes.get(id));
  }

  /**
   * Takes note of the first offset that the log still holds.
   *
   * @param first the first offset
   */
  public void truncated(long first) {
    logFirst = Math.max(logFirst, first);
  }

  /**
   * Applies records of the log, from the log or a peer. Records below the covered offset are
   * ignored. A batch that begins above it is only searched for snapshots.
   *
   * @param batch all records of a range
   * @return the changes that were decided, in order
   */
  public List<AppliedChange> apply(LogBatch batch) {
    if (batch.from() > next) {
      search(batch);
      return List.of();
    }
    List<AppliedChange> applied = new ArrayList<>();
    for (LogRecord entry : batch.records()) {
      if (entry.offset() >= next) {
        next = entry.offset();
        apply(entry).ifPresent(applied::add);
        next = entry.offset() + 1;
      }
    }
    next = Math.max(next, batch.next());
    return applied;
  }

  private void search(LogBatch batch) {
    for (LogRecord entry : batch.records()) {
      if (SettingsCodec.decode(entry.data()) instanceof DecodedRecord.Part(SnapshotPart part)) {
        collect(entry, part).ifPresent(this::install);
      }
    }
    if (batch.from() <= readFrom()) {
      scan = Math.max(scan, batch.next());
    }
  }

  private Optional<AppliedChange> apply(LogRecord entry) {
    return switch (SettingsCodec.decode(entry.data())) {
      case DecodedRecord.Change(SettingsChange change) -> Optional.of(decide(entry, change));
      case DecodedRecord.Part(SnapshotPart part) -> {
        collect(entry, part).ifPresent(this::install);
        yield Optional.empty();
      }
      case DecodedRecord.Unsupported unsupported -> {
        unsupportedRecords++;
        yield Optional.empty();
      }
      case DecodedRecord.Corrupt corrupt -> {
        corruptRecords++;
        yield Optional.empty();
      }
    };
  }

  private AppliedChange decide(LogRecord entry, SettingsChange change) {
    changesSinceSnapshot++;
    ChangeOutcome first = outcomes.get(change.id());
    if (first != null) {
      return new AppliedChange(entry, change, first, true);
    }
    ChangeOutcome outcome = accept(entry.offset(), change);
    remember(change.id(), outcome);
    return new AppliedChange(entry, change, outcome, false);
  }

  private ChangeOutcome accept(long offset, SettingsChange change) {
    if (change.base() < horizon) {
      return refused(offset, RefusalReason.BASE_TOO_OLD, "the oldest permitted base is " + horizon);
    }
    if (change.base() >= offset) {
      return refused(
          offset, RefusalReason.BASE_UNKNOWN, "base " + change.base() + " is not below " + offset);
    }
    for (SettingsEdit edit : change.edits()) {
      Optional<Map.Entry<SettingsPath, Long>> later =
          pathRevisions.changedAfter(edit.path(), change.base());
      if (later.isPresent()) {
        return refused(offset, RefusalReason.CONFLICT, conflict(later.get(), change.base()));
      }
    }
    ProblemList problems = new ProblemList();
    SettingsTree changed = TreeEditor.apply(tree, change.edits(), problems);
    if (!problems.isEmpty()) {
      return refused(offset, RefusalReason.INVALID, describe(problems));
    }
    StateDigest changedDigest = digest.next(tree, changed);
    if (changedDigest.encodedBytes() > MAX_TREE_BYTES) {
      return refused(
          offset, RefusalReason.TOO_LARGE, "the tree would exceed " + MAX_TREE_BYTES + " bytes");
    }
    tree = changed;
    digest = changedDigest;
    revision = offset;
    change.edits().forEach(edit -> pathRevisions.record(edit.path(), offset));
    return new ChangeOutcome.Accepted(offset);
  }

  private static String conflict(Map.Entry<SettingsPath, Long> later, long base) {
    String path = later.getKey().depth() == 0 ? "(whole tree)" : later.getKey().toString();
    return path + " was changed by revision " + later.getValue() + ", after base " + base;
  }

  private static String describe(ProblemList problems) {
    List<String> texts = problems.toList().stream().map(SettingsProblem::toString).toList();
    int shown = Math.min(SHOWN_PROBLEMS, texts.size());
    String more = texts.size() > shown ? "; and " + (texts.size() - shown) + " more" : "";
    return String.join("; ", texts.subList(0, shown)) + more;
  }

  private static ChangeOutcome refused(long offset, RefusalReason reason, String detail) {
    return new ChangeOutcome.Refused(offset, reason, detail);
  }

  private void remember(UUID id, ChangeOutcome outcome) {
    outcomes.put(id, outcome);
    while (outcomes.size() > MAX_REMEMBERED || pathRevisions.size() > MAX_PATHS) {
      Map.Entry<UUID, ChangeOutcome> oldest = outcomes.pollFirstEntry();
      horizon = oldest.getValue().offset();
      pathRevisions.dropUpTo(horizon);
    }
  }

  /** Collects a part; returns the snapshot when this was its last part and it may be used. */
  private Optional<SettingsSnapshot> collect(LogRecord entry, SnapshotPart part) {
    if (part.next() > entry.offset()) {
      rejectedSnapshots++;
      return Optional.empty();
    }
    Optional<List<SnapshotPart>> parts = assembler.add(part);
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    if (!SnapshotCodec.intact(parts.get())) {
      rejectedSnapshots++;
      return Optional.empty();
    }
    if (part.next() >= lastSnapshot.next()) {
      lastSnapshot = new SnapshotMark(part.next(), OptionalLong.of(entry.timeMillis()));
      changesSinceSnapshot = 0;
    }
    if (part.next() <= next) {
      return Optional.empty();
    }
    Optional<SettingsSnapshot> snapshot = SnapshotCodec.decode(parts.get());
    if (snapshot.isEmpty()) {
      rejectedSnapshots++;
    }
    return snapshot;
  }

  /**
   * Takes over the state of a snapshot that covers more of the log than this history does.
   *
   * @param snapshot a snapshot from the log or a peer
   * @return true when it was taken over; false leaves the state as it is
   */
  public boolean install(SettingsSnapshot snapshot) {
    if (snapshot.next() <= next) {
      return false;
    }
    if (snapshot.revision() < revision) {
      rejectedSnapshots++;
      return false;
    }
    tree = snapshot.tree();
    digest = snapshot.digest();
    revision = snapshot.revision();
    next = snapshot.next();
    horizon = snapshot.horizon();
    outcomes.clear();
    snapshot.outcomes().forEach(change -> outcomes.put(change.id(), change.outcome()));
    pathRevisions.replace(snapshot.pathRevisions());
    if (snapshot.lastSnapshot().next() > lastSnapshot.next()) {
      lastSnapshot = snapshot.lastSnapshot();
      changesSinceSnapshot = snapshot.changesSinceSnapshot();
    }
    return true;
  }

  /**
   * Copies the state.
   *
   * @return a snapshot of all records below {@link #next}
   * @throws IllegalArgumentException before the first record was read
   */
  public SettingsSnapshot snapshot() {
    List<SettingsSnapshot.RememberedChange> remembered = new ArrayList<>(outcomes.size());
    outcomes.forEach(
        (id, outcome) -> remembered.add(new SettingsSnapshot.RememberedChange(id, outcome)));
    return new SettingsSnapshot(
        next,
        revision,
        horizon,
        tree,
        digest,
        remembered,
        pathRevisions.toMap(),
        lastSnapshot,
        changesSinceSnapshot);
  }
}

package org.pollenrock.core.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;

/**
 * Everything that acceptance depends on, after all records below an offset.
 *
 * @param next offset after the records that it covers
 * @param revision revision of the tree
 * @param horizon least base that a change may have
 * @param tree the settings
 * @param digest digest of the settings
 * @param outcomes the remembered changes in the order of their offsets
 * @param pathRevisions revision of the last accepted change of each path that changed lately
 * @param lastSnapshot the last complete snapshot on the log below {@code next}
 * @param changesSinceSnapshot change records read since that snapshot
 */
public record SettingsSnapshot(
    long next,
    long revision,
    long horizon,
    SettingsTree tree,
    StateDigest digest,
    List<RememberedChange> outcomes,
    Map<SettingsPath, Long> pathRevisions,
    SnapshotMark lastSnapshot,
    long changesSinceSnapshot) {
  /**
   * A change and what became of it.
   *
   * @param id identity of the change
   * @param outcome what became of it
   */
  public record RememberedChange(UUID id, ChangeOutcome outcome) {
    /** Checks that both parts are present. */
    public RememberedChange {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(outcome, "outcome");
    }
  }

  /**
   * Copies the collections.
   *
   * @throws IllegalArgumentException when the revision is not below the covered offset
   */
  public SettingsSnapshot {
    Objects.requireNonNull(tree, "tree");
    Objects.requireNonNull(digest, "digest");
    Objects.requireNonNull(lastSnapshot, "lastSnapshot");
    outcomes = List.copyOf(outcomes);
    pathRevisions = Map.copyOf(pathRevisions);
    if (revision >= next || revision < SettingsHistory.NO_REVISION) {
      throw new IllegalArgumentException("revision " + revision + " of snapshot at " + next);
    }
  }
}

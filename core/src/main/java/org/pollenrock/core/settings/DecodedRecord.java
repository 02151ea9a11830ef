package org.pollenrock.core.settings;

import java.util.Objects;

/** What a record of the settings stream contains. */
public sealed interface DecodedRecord {
  /**
   * A change.
   *
   * @param change the change
   */
  record Change(SettingsChange change) implements DecodedRecord {
    /** Checks that the change is present. */
    public Change {
      Objects.requireNonNull(change, "change");
    }
  }

  /**
   * A part of a snapshot.
   *
   * @param part the part
   */
  record Part(SnapshotPart part) implements DecodedRecord {
    /** Checks that the part is present. */
    public Part {
      Objects.requireNonNull(part, "part");
    }
  }

  /**
   * A record of a later format, which this release cannot read.
   *
   * @param version its format
   */
  record Unsupported(int version) implements DecodedRecord {}

  /** Bytes that are no record. */
  record Corrupt() implements DecodedRecord {}
}

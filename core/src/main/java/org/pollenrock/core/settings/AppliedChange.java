package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * A change as it was read from the log.
 *
 * @param record the log record
 * @param change the change
 * @param outcome what became of it, or of the first record with its id
 * @param repeated whether an earlier record had the same id
 */
public record AppliedChange(
    LogRecord record, SettingsChange change, ChangeOutcome outcome, boolean repeated) {
  /** Checks that all parts are present. */
  public AppliedChange {
    Objects.requireNonNull(record, "record");
    Objects.requireNonNull(change, "change");
    Objects.requireNonNull(outcome, "outcome");
  }
}

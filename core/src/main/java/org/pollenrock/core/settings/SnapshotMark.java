package org.pollenrock.core.settings;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The last complete snapshot that was seen on the log.
 *
 * @param next offset after the records that it covers
 * @param timeMillis the log's time of its last part
 */
public record SnapshotMark(long next, OptionalLong timeMillis) {
  /** No snapshot was seen. */
  public static final SnapshotMark NONE = new SnapshotMark(0, OptionalLong.empty());

  /** Checks that both parts are present. */
  public SnapshotMark {
    Objects.requireNonNull(timeMillis, "timeMillis");
  }
}

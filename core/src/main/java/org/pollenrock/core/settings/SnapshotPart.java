package org.pollenrock.core.settings;

import java.util.Objects;

/**
 * One of the records into which a snapshot is split.
 *
 * @param next offset after the records that the snapshot covers
 * @param checksum tells apart snapshots of the same offset
 * @param index position of the part, from 0
 * @param count number of parts
 * @param data its share of the snapshot's bytes
 */
public record SnapshotPart(long next, long checksum, int index, int count, byte[] data) {
  /** Greatest number of parts; together they hold the largest tree even if it does not compress. */
  public static final int MAX_COUNT = 96;

  /** Greatest size of a part in bytes; a frame between routers holds three of them. */
  public static final int MAX_BYTES = 256 * 1024;

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when one is exceeded
   */
  public SnapshotPart {
    Objects.requireNonNull(data, "data");
    if (count < 1 || count > MAX_COUNT || index < 0 || index >= count || next < 0) {
      throw new IllegalArgumentException("part " + index + " of " + count + " at " + next);
    }
    if (data.length > MAX_BYTES) {
      throw new IllegalArgumentException("part of " + data.length + " bytes");
    }
  }
}

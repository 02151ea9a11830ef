package org.pollenrock.core.store;

/**
 * Position of a record in a topic of the store.
 *
 * @param era era of the store in which the offset was given out; 0 if the store names none
 * @param offset offset of the record
 */
public record StorePosition(long era, long offset) {
  /** Number of offsets of an era; more than a topic of claims ever holds. */
  private static final long OFFSETS_PER_ERA = 1L << 32;

  /**
   * Returns the fencing number of a claim at this position. It is higher than that of any claim
   * before, also if the store has come back from an older copy in between and gives the same
   * offsets out again.
   *
   * @return the fencing number; at least 1
   */
  public long fencingNumber() {
    return era * OFFSETS_PER_ERA + offset + 1;
  }
}

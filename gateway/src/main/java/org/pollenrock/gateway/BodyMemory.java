package org.pollenrock.gateway;

/**
 * Limits the bytes of bodies held in memory, so that callers or servers can't exhaust the memory.
 */
public final class BodyMemory {
  /** Cause of the failure of a response for which no memory is left. */
  static final String EXHAUSTED = "memory for responses is exhausted";

  /** Maximum size of a body that may use the part of the memory that is kept for small ones. */
  private static final long MAX_SMALL_BYTES = 64 << 10;

  /** Fraction of the memory that bodies which are not small may occupy together. */
  private static final double LARGE_FRACTION = 0.75;

  private final long limitBytes;
  private long heldBytes;
  private long failureCount;

  /**
   * Creates the limit; nothing is held.
   *
   * @param limitBytes maximum number of bytes
   */
  public BodyMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Reserves more bytes for a body that grows. A part of the memory is left to small bodies, which
   * large ones could otherwise fail.
   *
   * @param reservedBytes number of bytes that are reserved for the body already
   * @param moreBytes number of further bytes
   * @return false, without reserving any, when they would exceed the limit
   */
  boolean tryReserveMore(long reservedBytes, long moreBytes) {
    boolean small = reservedBytes + moreBytes <= MAX_SMALL_BYTES;
    long limit = small ? limitBytes : (long) (LARGE_FRACTION * limitBytes);
    if (heldBytes + moreBytes > limit) {
      failureCount++;
      return false;
    }
    heldBytes += moreBytes;
    return true;
  }

  /** Gives reserved bytes back. */
  void free(long bytes) {
    heldBytes -= bytes;
  }

  long heldBytes() {
    return heldBytes;
  }

  /** Returns how often the limit has kept bytes from being reserved. */
  long failureCount() {
    return failureCount;
  }
}

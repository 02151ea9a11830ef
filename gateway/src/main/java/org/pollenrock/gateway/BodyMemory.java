package org.pollenrock.gateway;

/** Limits the bytes of request bodies held in memory, so that callers can't exhaust the memory. */
final class BodyMemory {
  private final long limitBytes;
  private long heldBytes;

  BodyMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes; returns false, without reserving any, when they would exceed the limit. */
  boolean tryReserve(long bytes) {
    if (heldBytes + bytes > limitBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Gives reserved bytes back. */
  void free(long bytes) {
    heldBytes -= bytes;
  }

  long heldBytes() {
    return heldBytes;
  }
}

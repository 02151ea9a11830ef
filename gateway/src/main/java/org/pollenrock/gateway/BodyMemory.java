package org.pollenrock.gateway;

/** Counts the bytes of bodies that are held, so that callers can't exhaust the memory. */
final class BodyMemory {
  private final long limitBytes;
  private long heldBytes;

  BodyMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Takes bytes if the limit allows it. */
  boolean tryReserve(long bytes) {
    if (heldBytes + bytes > limitBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void free(long bytes) {
    heldBytes -= bytes;
  }

  long heldBytes() {
    return heldBytes;
  }
}

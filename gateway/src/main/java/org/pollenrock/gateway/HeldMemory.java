package org.pollenrock.gateway;

/** Counts the bytes of bodies that are held, so that callers can't exhaust the memory. */
final class HeldMemory {
  private final long limitBytes;
  private long heldBytes;

  HeldMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Takes bytes if the limit allows it. */
  boolean tryHold(long bytes) {
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

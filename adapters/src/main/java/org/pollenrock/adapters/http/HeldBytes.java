package org.pollenrock.adapters.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes of bodies that are held at once, over all connections. */
public final class HeldBytes {
  private final long limit;
  private final AtomicLong held = new AtomicLong();

  /**
   * Creates an empty account.
   *
   * @param limit most bytes held at once
   */
  public HeldBytes(long limit) {
    this.limit = limit;
  }

  /**
   * Reserves bytes when they fit.
   *
   * @param bytes number of bytes
   * @return false when the limit would be exceeded; nothing is reserved then
   */
  public boolean reserve(long bytes) {
    if (held.addAndGet(bytes) <= limit) {
      return true;
    }
    held.addAndGet(-bytes);
    return false;
  }

  /**
   * Returns reserved bytes.
   *
   * @param bytes number of bytes
   */
  public void release(long bytes) {
    held.addAndGet(-bytes);
  }

  /**
   * Bytes held now.
   *
   * @return number of bytes
   */
  public long held() {
    return held.get();
  }
}

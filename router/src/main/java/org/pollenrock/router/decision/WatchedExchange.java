package org.pollenrock.router.decision;

/** An exchange with a server whose progress is watched; methods are called from any thread. */
public interface WatchedExchange {
  /**
   * Monotonic time of the last received byte, or of now while the router itself holds the exchange
   * back.
   *
   * @return nanoseconds
   */
  long lastProgressNanos();

  /** The exchange missed its progress deadline. */
  void silent();
}

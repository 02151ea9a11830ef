package org.pollenrock.router.caller;

/** Hears of changes of a caller connection while its response is open. */
public interface ResponseListener {
  /** The router ends now; an answer that is given at once still reaches the caller. */
  void stopping();

  /**
   * The connection became writable or stopped being so.
   *
   * @param writable the new state
   */
  void writabilityChanged(boolean writable);

  /** The caller is gone; nothing more can be sent. */
  void disconnected();
}

package org.pollenrock.core.dispatch;

/** How a send to a server failed. */
public enum SendFailure {
  /** No connection could be opened, so nothing was sent. */
  NOT_SENT,
  /** The server says that it did not run the request. */
  REFUSED,
  /** Another server stands at the address and did not run the request. */
  MISPLACED,
  /** The server has other weights than it was thought to have, and did not run the request. */
  OTHER_WEIGHTS,
  /** The connection broke or went silent, or the answer made no sense; the request may have run. */
  BROKEN,
  /** The server answered with a failure of its own; the request ran. */
  SERVER_ERROR;

  /**
   * Tells whether the request certainly did not run.
   *
   * @return whether a refusal that promises so would be true
   */
  public boolean certainlyNotRun() {
    return this != BROKEN && this != SERVER_ERROR;
  }
}

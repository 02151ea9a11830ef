package org.pollenrock.core.dispatch;

/** How a send to a server failed. */
public enum SendFailure {
  /** No connection could be opened, so nothing was sent. */
  NOT_SENT,
  /** The server reported that it did not run the request. */
  REFUSED,
  /** A different server responded at the address and did not run the request. */
  MISPLACED,
  /** The server has other weights than expected and did not run the request. */
  OTHER_WEIGHTS,
  /** The connection broke or timed out, or the response was invalid; the request may have run. */
  BROKEN,
  /** The server responded with an error of its own; the request ran. */
  SERVER_ERROR;

  /**
   * Returns whether the request certainly did not run.
   *
   * @return whether a refusal may state that the request did not run
   */
  public boolean certainlyNotRun() {
    return this != BROKEN && this != SERVER_ERROR;
  }
}

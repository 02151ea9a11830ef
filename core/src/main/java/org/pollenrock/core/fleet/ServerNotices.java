package org.pollenrock.core.fleet;

/**
 * What one incarnation of a server has told this instance about further requests. Notices bind
 * whatever the server list says, so they outlive the server's entry.
 */
public final class ServerNotices {
  private boolean leaving;

  /** Creates the notices of a server that has told nothing. */
  public ServerNotices() {}

  /**
   * Records that the server leaves. This is final for the incarnation.
   *
   * @return whether this was not known
   */
  boolean recordLeaving() {
    boolean news = !leaving;
    leaving = true;
    return news;
  }

  /**
   * Returns whether the server leaves, so that it gets no more requests.
   *
   * @return whether the server leaves
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns whether a request may be sent to the server as far as its notices are concerned.
   *
   * @return whether the server accepts requests
   */
  public boolean permitsRequest() {
    return !leaving;
  }

  /** Returns whether the notices have to outlive the server's entry. */
  boolean hasLastingNotice() {
    return leaving;
  }
}

package org.pollenrock.core.fleet;

/** What a notice in the response of a server has changed. */
public sealed interface NoticeEffect {
  /** Nothing has changed. */
  record None() implements NoticeEffect {}

  /**
   * The server is now known to leave.
   *
   * @param server the server
   */
  record Leaving(Backend server) implements NoticeEffect {}

  /**
   * The server wants no requests for some time.
   *
   * @param server the server
   */
  record Held(Backend server) implements NoticeEffect {}

  /**
   * The server has named a time that can't be read, for the first time.
   *
   * @param server the server
   */
  record Unreadable(Backend server) implements NoticeEffect {}
}

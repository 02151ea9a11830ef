package org.pollenrock.core.error;

/** What is known of a request's execution when its caller is told of an error. */
public enum RunState {
  /** The request certainly did not run and will not run. */
  NOT_RUN("not_run"),
  /** The request ran. */
  RAN("ran"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String wireName;

  RunState(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Name used in error bodies.
   *
   * @return the lower-case name
   */
  public String wireName() {
    return wireName;
  }
}

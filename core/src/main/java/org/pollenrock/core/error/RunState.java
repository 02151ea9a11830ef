package org.pollenrock.core.error;

/** What is known about the execution of a request when an error is reported to its caller. */
public enum RunState {
  /** The request did not run and will not run. */
  NOT_RUN("not_run"),
  /** The request ran. */
  RAN("ran"),
  /** The request may have run; whether it did is unknown. */
  UNKNOWN("unknown");

  private final String wireName;

  RunState(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Returns the name used in error bodies.
   *
   * @return the lower-case name
   */
  public String wireName() {
    return wireName;
  }
}

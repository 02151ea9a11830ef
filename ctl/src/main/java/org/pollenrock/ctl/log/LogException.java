package org.pollenrock.ctl.log;

/** A call to the log failed. */
public final class LogException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean possiblyEffective;

  LogException(String message, boolean possiblyEffective) {
    super(message);
    this.possiblyEffective = possiblyEffective;
  }

  /**
   * Whether an append may have taken effect although its response is missing.
   *
   * @return false when it certainly did not
   */
  public boolean possiblyEffective() {
    return possiblyEffective;
  }
}

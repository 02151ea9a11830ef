package org.pollenrock.ctl.command;

/** Ends a command with a message and a documented exit code. */
public final class CommandFailure extends Exception {
  /** The answer is no: errors in a file, a refused change, a difference, or failed requests. */
  public static final int NEGATIVE = 1;

  /** The arguments are wrong. */
  public static final int USAGE = 2;

  /** The log, a router or a file could not be reached. */
  public static final int UNREACHABLE = 3;

  /** A change may or may not take effect. */
  public static final int UNKNOWN = 4;

  private static final long serialVersionUID = 1L;

  private final int exitCode;

  CommandFailure(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Exit code of the process.
   *
   * @return one of the constants
   */
  public int exitCode() {
    return exitCode;
  }
}

package org.pollenrock.ctl.command;

import org.pollenrock.ctl.log.LogException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Prints the reason of a failed command and chooses its exit code. */
public final class FailureHandler implements IExecutionExceptionHandler {
  @Override
  public int handleExecutionException(
      Exception exception, CommandLine commandLine, ParseResult parseResult) {
    if (exception instanceof InterruptedException) {
      Thread.currentThread().interrupt();
    }
    commandLine.getErr().println("error: " + message(exception));
    return switch (exception) {
      case CommandFailure failure -> failure.exitCode();
      case IllegalArgumentException wrong -> CommandFailure.USAGE;
      default -> CommandFailure.UNREACHABLE;
    };
  }

  private static String message(Exception exception) {
    boolean explained =
        exception instanceof CommandFailure
            || exception instanceof LogException
            || exception instanceof IllegalArgumentException;
    return explained ? exception.getMessage() : exception.toString();
  }
}

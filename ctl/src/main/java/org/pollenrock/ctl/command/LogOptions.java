package org.pollenrock.ctl.command;

import java.time.Duration;
import org.pollenrock.ctl.log.LogClient;
import org.pollenrock.ctl.log.LogException;
import org.pollenrock.ctl.log.SettingsLog;
import picocli.CommandLine.Option;

/** How a command reaches the log. */
public final class LogOptions {
  @Option(
      names = "--log",
      paramLabel = "ADDRESS",
      description = "Log service: IP address and port, or a URL.")
  private String address;

  @Option(
      names = "--timeout",
      paramLabel = "DURATION",
      converter = DurationConverter.class,
      defaultValue = "5s",
      description = "Time after which a call has failed (default: ${DEFAULT-VALUE}).")
  private Duration timeout;

  LogClient open() throws CommandFailure {
    if (address == null) {
      throw new CommandFailure(CommandFailure.USAGE, "--log is missing");
    }
    return new LogClient(Urls.parse(address), SettingsLog.STREAM, timeout);
  }

  /** Reads the settings stream to its head. */
  static SettingsLog read(LogClient client)
      throws CommandFailure, LogException, InterruptedException {
    SettingsLog log = new SettingsLog(client);
    log.readToHead();
    requireComplete(log);
    return log;
  }

  /** Fails when records were lost to retention and no snapshot covers them. */
  static void requireComplete(SettingsLog log) throws CommandFailure {
    if (log.history().awaitsSnapshot()) {
      throw new CommandFailure(
          CommandFailure.UNREACHABLE,
          "the log dropped old records and holds no snapshot that covers them");
    }
  }
}

package org.pollenrock.ctl;

import java.io.PrintWriter;
import org.pollenrock.ctl.command.CheckCommand;
import org.pollenrock.ctl.command.CommandFailure;
import org.pollenrock.ctl.command.DiffCommand;
import org.pollenrock.ctl.command.ExplainCommand;
import org.pollenrock.ctl.command.FailureHandler;
import org.pollenrock.ctl.command.HistoryCommand;
import org.pollenrock.ctl.command.LoadCommand;
import org.pollenrock.ctl.command.PublishCommand;
import org.pollenrock.ctl.command.ReviewCommand;
import org.pollenrock.ctl.command.ShowCommand;
import org.pollenrock.ctl.command.StateCommand;
import org.pollenrock.ctl.command.TraceCommand;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the operators' tool. */
@Command(
    name = "pollenrockctl",
    description = "Checks, compares and publishes settings, and looks into running routers.",
    mixinStandardHelpOptions = true,
    version = "pollenrockctl 0.1.0",
    synopsisSubcommandLabel = "COMMAND",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:Success.",
      "1:The answer is no: a file has errors, a change was refused, files differ, or requests of"
          + " a load run failed.",
      "2:Wrong arguments.",
      "3:The log or router could not be reached, or a file could not be read.",
      "4:The change may or may not take effect; repeat the command with the printed --id."
    },
    subcommands = {
      CheckCommand.class,
      ShowCommand.class,
      DiffCommand.class,
      ReviewCommand.class,
      PublishCommand.class,
      HistoryCommand.class,
      StateCommand.class,
      TraceCommand.class,
      ExplainCommand.class,
      LoadCommand.class,
      AutoComplete.GenerateCompletion.class,
      CommandLine.HelpCommand.class
    })
public final class Pollenrockctl {
  private Pollenrockctl() {}

  /**
   * Runs a command and ends the process with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    PrintWriter out = new PrintWriter(System.out, true);
    System.exit(execute(out, new PrintWriter(System.err, true), args));
  }

  /**
   * Runs a command.
   *
   * @param out receives results
   * @param err receives errors and progress
   * @param args the command line
   * @return the exit code, one of {@link CommandFailure}'s or 0
   */
  public static int execute(PrintWriter out, PrintWriter err, String... args) {
    return new CommandLine(new Pollenrockctl())
        .setOut(out)
        .setErr(err)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(new FailureHandler())
        .execute(args);
  }
}

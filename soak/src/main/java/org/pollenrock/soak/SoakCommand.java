package org.pollenrock.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Command that plays seeds and exits with 1 when a promise was broken. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs real gateways as processes and injects faults from outside.")
public final class SoakCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
  private int seeds = 1;

  @Option(names = "--seconds", description = "Length of a run (default: ${DEFAULT-VALUE}).")
  private int seconds = 20;

  @Option(names = "--gateways", description = "Processes (default: ${DEFAULT-VALUE}).")
  private int gateways = 3;

  @Option(names = "--returns", description = "Lets the store come back from older copies.")
  private boolean returns;

  @Option(names = "--spoiled-heads", description = "Lets servers begin responses twice.")
  private boolean spoiledHeads;

  @Option(names = "--logs", description = "Folder for the logs of the processes.")
  private Path logs = Path.of("soak", "target", "soak");

  /** Creates the command. */
  public SoakCommand() {}

  /**
   * Runs the command.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    PrintWriter out = spec.commandLine().getOut();
    boolean broken = false;
    for (long next = seed; next < seed + seeds; next++) {
      Path directory = Files.createDirectories(logs.resolve("seed-" + next));
      SoakReport report =
          new SoakRun(new SoakSettings(next, seconds, gateways, returns, spoiledHeads), directory)
              .play();
      out.print(report.text());
      out.flush();
      broken |= !report.violations().isEmpty();
    }
    return broken ? 1 : 0;
  }
}

package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.pollenrock.ctl.load.Deployment;
import org.pollenrock.ctl.load.LoadFigures;
import org.pollenrock.ctl.load.LoadRun;
import org.pollenrock.ctl.load.RequestSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Drives running routers with a deployment's traffic. */
@Command(
    name = "load",
    description = {
      "Sends requests in the mix of a deployment, at times drawn in advance, with the API keys of"
          + " examples/, and prints figures at the end.",
      "The exit code is 1 when a stream was incomplete or a request failed other than by a refusal"
          + " that says it was not run."
    },
    mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;

  @Option(
      names = "--router",
      required = true,
      paramLabel = "ADDRESS",
      description = "Callers' listener of a router; repeat it to use several in turn.")
  private List<String> routers;

  @Option(
      names = "--deployment",
      required = true,
      paramLabel = "NAME",
      description = "chama or directorate.")
  private Deployment deployment;

  @Option(
      names = "--rate",
      paramLabel = "REQUESTS",
      defaultValue = "20",
      description = "Mean requests per second (default: ${DEFAULT-VALUE}).")
  private double rate;

  @Option(
      names = "--duration",
      paramLabel = "DURATION",
      converter = DurationConverter.class,
      defaultValue = "10s",
      description = "How long to send (default: ${DEFAULT-VALUE}).")
  private Duration duration;

  @Option(
      names = "--seed",
      paramLabel = "SEED",
      defaultValue = "1",
      description = "Seed of the requests (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--dossier-blocks",
      paramLabel = "BLOCKS",
      defaultValue = "6",
      description = "Length of a dossier in blocks of 4 KiB (default: ${DEFAULT-VALUE}).")
  private int dossierBlocks;

  @Option(
      names = "--max-open",
      paramLabel = "REQUESTS",
      defaultValue = "2000",
      description = "Greatest number of open requests (default: ${DEFAULT-VALUE}).")
  private int maxOpen;

  @Option(
      names = "--timeout",
      paramLabel = "DURATION",
      converter = DurationConverter.class,
      defaultValue = "60s",
      description = "Time after which a request is given up (default: ${DEFAULT-VALUE}).")
  private Duration timeout;

  @Override
  public Integer call() throws CommandFailure, InterruptedException {
    if (!(rate > 0) || duration.isZero() || dossierBlocks < 0 || maxOpen < 1) {
      throw new CommandFailure(
          CommandFailure.USAGE, "--rate, --duration and --max-open are positive");
    }
    RequestSource source = new RequestSource(deployment, dossierBlocks, seed);
    PrintWriter err = output.err();
    try (LoadRun run =
        new LoadRun(routers.stream().map(Urls::parse).toList(), source, timeout, maxOpen)) {
      LoadFigures figures = run.run(rate, duration, err::println);
      print(figures);
      return exitCode(figures);
    }
  }

  private void print(LoadFigures figures) {
    ObjectNode json =
        output
            .object()
            .put("deployment", deployment.name().toLowerCase(Locale.ROOT))
            .put("seed", seed)
            .put("rate", rate)
            .put("seconds", duration.toMillis() / 1e3);
    json.setAll(figures.json());
    output.print(json, figures::print);
  }

  private static int exitCode(LoadFigures figures) {
    long bad =
        figures.count(LoadFigures.Ending.INCOMPLETE)
            + figures.count(LoadFigures.Ending.FAILED)
            + figures.count(LoadFigures.Ending.NO_ANSWER);
    if (figures.count(LoadFigures.Ending.COMPLETED) == 0
        && figures.count(LoadFigures.Ending.NO_ANSWER) == bad
        && bad > 0) {
      return CommandFailure.UNREACHABLE;
    }
    return bad > 0 ? CommandFailure.NEGATIVE : 0;
  }
}

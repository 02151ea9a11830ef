package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.pollenrock.bench.cluster.SingleRouterBed;
import org.pollenrock.bench.load.LoadClient;
import org.pollenrock.bench.load.OverheadFigures;
import org.pollenrock.bench.load.OverheadRun;
import picocli.CommandLine;

/** Measures the time to first token that the router adds. */
@CommandLine.Command(
    name = "overhead",
    description = "Measures the time to first token that the router adds to direct access.",
    mixinStandardHelpOptions = true)
final class OverheadCommand implements Callable<Integer> {
  private static final Duration TOKEN_INTERVAL = Duration.ofMillis(40);

  @CommandLine.Option(
      names = "--streams",
      defaultValue = "200",
      description = "Streams that are open in the background.")
  private int streams;

  @CommandLine.Option(
      names = "--requests",
      defaultValue = "500",
      description = "Measured requests each way.")
  private int requests;

  private final PrintStream out;

  OverheadCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public Integer call() throws InterruptedException {
    SingleRouterBed bed = new SingleRouterBed(TOKEN_INTERVAL);
    bed.start();
    try (LoadClient client = new LoadClient()) {
      OverheadFigures figures =
          new OverheadRun(client, bed.engineAddress(), bed.routerAddress()).run(streams, requests);
      out.printf("time to first token%12s%12s%n", "p50 ms", "p99 ms");
      row("direct", figures.directP50Ms(), figures.directP99Ms());
      row("through the router", figures.routedP50Ms(), figures.routedP99Ms());
      row(
          "difference",
          figures.routedP50Ms() - figures.directP50Ms(),
          figures.routedP99Ms() - figures.directP99Ms());
      out.printf("%d streams open, %d wrong answers%n", figures.openStreams(), figures.wrong());
      return figures.wrong() == 0 ? 0 : BenchCommand.EXIT_VIOLATION;
    } finally {
      bed.stop();
    }
  }

  private void row(String name, double median, double high) {
    out.printf("%-19s%12.3f%12.3f%n", name, median, high);
  }
}

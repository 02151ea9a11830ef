package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.function.LongFunction;
import org.pollenrock.bench.cluster.SingleRouterBed;
import org.pollenrock.bench.load.LoadClient;
import org.pollenrock.bench.load.LoadRequest;
import org.pollenrock.bench.load.ThroughputFigures;
import org.pollenrock.bench.load.ThroughputRun;
import picocli.CommandLine;

/** Measures short requests per second through one router. */
@CommandLine.Command(
    name = "throughput",
    description = "Measures short requests per second through one router.",
    mixinStandardHelpOptions = true)
final class ThroughputCommand implements Callable<Integer> {
  private static final int TOKENS = 2;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "10",
      description = "Time for each kind of request; three tenths of it are a warm-up.")
  private double seconds;

  @CommandLine.Option(
      names = "--connections",
      defaultValue = "64",
      description = "Requests that are under way at once.")
  private int connections;

  private final PrintStream out;

  ThroughputCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public Integer call() throws InterruptedException {
    SingleRouterBed bed = new SingleRouterBed(Duration.ZERO);
    bed.start();
    try (LoadClient client = new LoadClient()) {
      boolean right =
          measure(bed, client, "GET", number -> new LoadRequest.PlainGet(bed.plainPath(), number));
      right &=
          measure(
              bed,
              client,
              "completion",
              number -> new LoadRequest.Completion("question " + number, TOKENS, false));
      return right ? 0 : BenchCommand.EXIT_VIOLATION;
    } finally {
      bed.stop();
    }
  }

  private boolean measure(
      SingleRouterBed bed, LoadClient client, String name, LongFunction<LoadRequest> requests)
      throws InterruptedException {
    ThroughputFigures figures =
        new ThroughputRun(client, bed.routerAddress(), connections, requests).run(seconds);
    out.printf(
        "%-12s %8.0f requests/s, %d right in %.1f s, %d wrong, p99 %.2f ms%n",
        name,
        figures.perSecond(),
        figures.requests(),
        figures.seconds(),
        figures.wrong(),
        figures.p99Ms());
    return figures.wrong() == 0;
  }
}

package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.pollenrock.bench.cluster.SingleRouterBed;
import org.pollenrock.bench.load.LoadClient;
import org.pollenrock.bench.load.StreamsFigures;
import org.pollenrock.bench.load.StreamsRun;
import picocli.CommandLine;

/** Opens many streams at once through one router. */
@CommandLine.Command(
    name = "streams",
    description = "Opens many streams at once through one router.",
    mixinStandardHelpOptions = true)
final class StreamsCommand implements Callable<Integer> {
  private static final Duration TOKEN_INTERVAL = Duration.ofMillis(250);

  @CommandLine.Option(
      names = "--streams",
      defaultValue = "2000",
      description = "Number of streams.")
  private int streams;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "10",
      description = "Length of each stream.")
  private double seconds;

  private final PrintStream out;

  StreamsCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public Integer call() throws InterruptedException {
    SingleRouterBed bed = new SingleRouterBed(TOKEN_INTERVAL);
    bed.start();
    try (LoadClient client = new LoadClient()) {
      int tokens = 1 + (int) Math.round(seconds * 1_000 / TOKEN_INTERVAL.toMillis());
      StreamsFigures figures =
          new StreamsRun(client, bed.routerAddress(), streams, tokens).run(seconds);
      out.printf(
          "%d streams of %d tokens, %d open at once, %d whole, first token p50 %.1f ms, "
              + "p99 %.1f ms%n",
          figures.streams(),
          tokens,
          figures.openAtOnce(),
          figures.whole(),
          figures.ttftP50Ms(),
          figures.ttftP99Ms());
      return figures.whole() == streams ? 0 : BenchCommand.EXIT_VIOLATION;
    } finally {
      bed.stop();
    }
  }
}

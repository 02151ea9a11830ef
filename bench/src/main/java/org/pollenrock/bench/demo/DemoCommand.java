package org.pollenrock.bench.demo;

import java.io.PrintStream;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.drive.TraceClient;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import picocli.CommandLine;

/** Starts stand-ins and a router in one process and sends a few requests. */
@CommandLine.Command(
    name = "demo",
    description = "Starts stand-ins and a router in one process and sends a few requests.",
    mixinStandardHelpOptions = true)
public final class DemoCommand implements Callable<Integer> {
  private static final long SEED = 1;

  @CommandLine.Option(
      names = "--once",
      description = "End after the requests: exit code 0 when every answer was whole and right.")
  private boolean once;

  private final PrintStream out;

  /**
   * Makes the command.
   *
   * @param out where to print
   */
  public DemoCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the demonstration.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new DemoCommand(System.out)).execute(arguments));
  }

  @Override
  public Integer call() throws InterruptedException {
    Deployment deployment = Deployment.named("demo");
    StandinCluster cluster = new StandinCluster(deployment);
    TestBed bed = new TestBed(deployment, cluster, ExpectedCostStrategy::new, SEED);
    bed.start();
    try {
      boolean right = new DemoRun(bed, out).run();
      if (!once) {
        serve(bed);
      }
      return right ? 0 : 1;
    } finally {
      bed.stop();
    }
  }

  private void serve(TestBed bed) throws InterruptedException {
    out.printf(
        "%nThe router goes on serving; stop it with Ctrl-C. Try:%n%n"
            + "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\%n"
            + "    -H 'Content-Type: application/json' \\%n"
            + "    -d '{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":8,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n%n",
        bed.entryAddress(0), TraceClient.apiKey(0));
    out.flush();
    new CountDownLatch(1).await();
  }
}

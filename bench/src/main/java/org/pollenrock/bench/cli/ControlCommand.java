package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.util.concurrent.Callable;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.control.ControlRun;
import org.pollenrock.bench.control.Durations;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import picocli.CommandLine;

/** Measures settings changes, a leaving server and restarted routers. */
@CommandLine.Command(
    name = "control",
    description = "Measures settings changes, a leaving server and restarted routers.",
    mixinStandardHelpOptions = true)
final class ControlCommand implements Callable<Integer> {
  @CommandLine.Option(
      names = "--deployment",
      required = true,
      description = "chama or directorate.")
  private String deployment;

  @CommandLine.Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of traffic and routers.")
  private long seed;

  @CommandLine.Option(
      names = "--repetitions",
      defaultValue = "20",
      description = "Number of settings changes and of restarts.")
  private int repetitions;

  private final PrintStream out;

  ControlCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public Integer call() throws InterruptedException {
    Deployment sizes = Deployment.named(deployment);
    TestBed bed = new TestBed(sizes, new StandinCluster(sizes), ExpectedCostStrategy::new, seed);
    bed.start();
    try {
      ControlRun run = new ControlRun(bed, seed);
      row("settings change in force everywhere", run.settingsChanges(repetitions));
      row("restarted router's first answer", run.restarts(repetitions));
      out.printf(
          "last request to reach a leaving server: %d ms after it began to leave%n",
          run.leavingServer().toMillis());
    } finally {
      bed.stop();
    }
    return 0;
  }

  private void row(String name, Durations times) {
    out.printf(
        "%s: median %.1f ms, worst %.1f ms of %d%n",
        name, times.medianMs(), times.worstMs(), times.nanos().size());
  }
}

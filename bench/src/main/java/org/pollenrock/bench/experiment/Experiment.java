package org.pollenrock.bench.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pollenrock.bench.cluster.RevisionSampler;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.drive.OpenLoopDriver;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.drive.TraceClient;
import org.pollenrock.bench.fault.FaultInjector;
import org.pollenrock.bench.fault.FaultName;
import org.pollenrock.bench.history.RunHistory;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.Workload;

/** Runs one policy on the trace of an experiment and records its history. */
public final class Experiment {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final List<String> VERSIONS = List.of(Deployment.VERSION, "v2");

  private final ExperimentOptions options;
  private final Consumer<Outcome> progress;

  /**
   * Makes an experiment.
   *
   * @param options what to run
   * @param progress told of each outcome
   */
  public Experiment(ExperimentOptions options, Consumer<Outcome> progress) {
    this.options = options;
    this.progress = progress;
  }

  /**
   * Starts stand-ins and routers, drives the trace, and stops them.
   *
   * @param policy how routers place requests
   * @return the history of the run
   * @throws InterruptedException when the thread is interrupted while the routers start
   */
  public RunHistory run(Policy policy) throws InterruptedException {
    StandinCluster cluster = new StandinCluster(options.deployment());
    TestBed bed =
        new TestBed(options.deployment(), cluster, () -> policy.strategy(cluster), options.seed());
    bed.start();
    try {
      return drive(bed);
    } finally {
      bed.stop();
    }
  }

  private RunHistory drive(TestBed bed) {
    double shift =
        options.faults().contains(FaultName.HOT_SHIFT)
            ? options.faultStartSeconds()
            : options.seconds();
    List<TimedRequest> trace =
        new Workload(options.deployment(), options.seed())
            .trace(options.seconds(), shift, System.currentTimeMillis());
    TraceClient client =
        new TraceClient(
            options.deployment().plainService(),
            VERSIONS,
            REQUEST_TIMEOUT,
            bed::entryAddress,
            options.deployment().routers());
    FaultInjector injector = new FaultInjector(bed, options.seed());
    long startNanos = System.nanoTime();
    bed.cluster().startHistory(startNanos);
    RevisionSampler sampler = new RevisionSampler(bed, startNanos);
    List<Outcome> outcomes;
    try (ScheduledExecutorService timer = Executors.newScheduledThreadPool(1)) {
      schedule(timer, injector, sampler);
      outcomes = new OpenLoopDriver(client, progress).run(trace, startNanos);
      timer.shutdownNow();
    }
    return new RunHistory(
        outcomes,
        bed.cluster().engineRuns(),
        bed.cluster().postings(),
        bed.cluster().foreignHits(),
        injector.departures(),
        sampler.samples());
  }

  private void schedule(
      ScheduledExecutorService timer, FaultInjector injector, RevisionSampler sampler) {
    timer.scheduleAtFixedRate(
        sampler::sample, 0, RevisionSampler.INTERVAL_MS, TimeUnit.MILLISECONDS);
    Set<FaultName> faults = options.faults();
    if (faults.isEmpty()) {
      return;
    }
    long beginMs = Math.round(options.faultStartSeconds() * 1_000);
    long endMs = Math.round(options.faultEndSeconds() * 1_000);
    timer.schedule(
        () -> injector.begin(faults, beginMs * 1_000_000), beginMs, TimeUnit.MILLISECONDS);
    for (long at = beginMs; at < endMs; at += FaultInjector.REPEAT_MS) {
      timer.schedule(() -> injector.repeat(faults), at, TimeUnit.MILLISECONDS);
    }
    timer.schedule(() -> injector.end(faults), endMs, TimeUnit.MILLISECONDS);
  }
}

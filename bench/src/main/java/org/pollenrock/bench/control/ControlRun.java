package org.pollenrock.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.pollenrock.bench.cluster.ServiceNode;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.drive.OpenLoopDriver;
import org.pollenrock.bench.drive.TraceClient;
import org.pollenrock.bench.load.LoadAnswer;
import org.pollenrock.bench.load.LoadClient;
import org.pollenrock.bench.load.LoadConnection;
import org.pollenrock.bench.load.LoadRequest;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.Workload;
import org.pollenrock.standin.engine.EngineStandin;

/** Measures a running test bed. */
public final class ControlRun {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long POLL_MICROS = 500;
  private static final long RETRY_MS = 2;
  private static final double TRACE_SECONDS = 9;
  private static final long LEAVE_AFTER_MS = 3_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final TestBed bed;
  private final long seed;

  /**
   * Prepares the measurements.
   *
   * @param bed a started test bed
   * @param seed seed of the traffic
   */
  public ControlRun(TestBed bed, long seed) {
    this.bed = bed;
    this.seed = seed;
  }

  /**
   * Publishes changes one after the other.
   *
   * @param repetitions number of changes
   * @return times from before the append to the change being in force at the last router
   * @throws InterruptedException when the thread is interrupted
   */
  public Durations settingsChanges(int repetitions) throws InterruptedException {
    List<Long> times = new ArrayList<>();
    for (int i = 0; i < repetitions; i++) {
      long startNanos = System.nanoTime();
      long offset = bed.publishDeadline(Duration.ofSeconds(61 + i % 2));
      while (bed.routers().stream().anyMatch(router -> router.revision().orElse(-1) < offset)) {
        check(startNanos, "a settings change is not in force everywhere");
        TimeUnit.MICROSECONDS.sleep(POLL_MICROS);
      }
      times.add(System.nanoTime() - startNanos);
    }
    return new Durations(times);
  }

  /**
   * Lets a model server leave under the traffic of the deployment.
   *
   * @return time from its departure to the last model request that reached it, refused ones
   *     included; 0 when none did
   */
  public Duration leavingServer() {
    Deployment deployment = bed.deployment();
    ServiceNode<EngineStandin> node = bed.cluster().engines().getFirst();
    List<TimedRequest> trace =
        new Workload(deployment, seed)
            .trace(TRACE_SECONDS, TRACE_SECONDS, System.currentTimeMillis());
    TraceClient client =
        new TraceClient(
            deployment.plainService(),
            List.of(Deployment.VERSION),
            REQUEST_TIMEOUT,
            bed::entryAddress,
            deployment.routers());
    AtomicLong leftNanos = new AtomicLong();
    try (ScheduledExecutorService timer = Executors.newScheduledThreadPool(1)) {
      timer.schedule(
          () -> {
            leftNanos.set(System.nanoTime());
            bed.cluster().leave(node.name());
          },
          LEAVE_AFTER_MS,
          TimeUnit.MILLISECONDS);
      new OpenLoopDriver(client, outcome -> {}).run(trace, System.nanoTime());
    }
    long last = node.server().lastArrivalNanos() - leftNanos.get();
    return Duration.ofNanos(Math.max(0, last));
  }

  /**
   * Restarts routers one after the other.
   *
   * @param repetitions number of restarts
   * @return times from the start of a router to the end of its first right answer
   * @throws InterruptedException when the thread is interrupted
   */
  public Durations restarts(int repetitions) throws InterruptedException {
    List<Long> times = new ArrayList<>();
    try (LoadClient client = new LoadClient()) {
      for (int i = 0; i < repetitions; i++) {
        int index = i % bed.deployment().routers();
        long startNanos = System.nanoTime();
        bed.restartRouter(index);
        awaitAnswer(client.connect(bed.entryAddress(index)), i, startNanos);
        times.add(System.nanoTime() - startNanos);
      }
    }
    return new Durations(times);
  }

  private static void awaitAnswer(LoadConnection connection, int number, long startNanos)
      throws InterruptedException {
    LoadRequest request = new LoadRequest.Completion("restart " + number, 1, false);
    while (!request.matches(send(connection, request))) {
      check(startNanos, "a restarted router does not answer");
      TimeUnit.MILLISECONDS.sleep(RETRY_MS);
    }
  }

  private static LoadAnswer send(LoadConnection connection, LoadRequest request) {
    CompletableFuture<LoadAnswer> future = new CompletableFuture<>();
    connection.send(request, future::complete);
    return future.join();
  }

  private static void check(long startNanos, String failure) {
    if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
      throw new IllegalStateException(failure);
    }
  }
}

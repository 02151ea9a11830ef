package org.pollenrock.bench.drive;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.pollenrock.bench.workload.TimedRequest;

/** Sends each request of a trace at its time, whatever became of the earlier ones. */
public final class OpenLoopDriver {
  private final TraceClient client;
  private final Consumer<Outcome> progress;

  /**
   * Makes a driver.
   *
   * @param client sends the requests
   * @param progress told of each outcome, on the thread of its request
   */
  public OpenLoopDriver(TraceClient client, Consumer<Outcome> progress) {
    this.client = client;
    this.progress = progress;
  }

  /**
   * Sends a trace and waits for every outcome.
   *
   * @param trace requests in order of time
   * @param startNanos monotonic time of the trace's start
   * @return the outcomes, in order of completion
   */
  public List<Outcome> run(List<TimedRequest> trace, long startNanos) {
    Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
      for (TimedRequest request : trace) {
        waitUntil(startNanos + request.atNanos());
        senders.execute(() -> record(client.send(request, startNanos), outcomes));
      }
    }
    return List.copyOf(outcomes);
  }

  private void record(Outcome outcome, Queue<Outcome> outcomes) {
    outcomes.add(outcome);
    progress.accept(outcome);
  }

  private static void waitUntil(long dueNanos) {
    long left = dueNanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = dueNanos - System.nanoTime();
    }
  }
}

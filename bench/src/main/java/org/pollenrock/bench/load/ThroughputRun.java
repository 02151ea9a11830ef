package org.pollenrock.bench.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.HdrHistogram.ConcurrentHistogram;

/** Closed loop: each connection sends its next request when the answer before is whole. */
public final class ThroughputRun {
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final double WARM_UP_SHARE = 0.3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadClient client;
  private final String address;
  private final int connections;
  private final LongFunction<LoadRequest> requests;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final ConcurrentHistogram times = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

  /**
   * Prepares a run.
   *
   * @param client opens the connections
   * @param address where to send
   * @param connections number of requests that are under way at once
   * @param requests makes the request with a number
   */
  public ThroughputRun(
      LoadClient client, String address, int connections, LongFunction<LoadRequest> requests) {
    this.client = client;
    this.address = address;
    this.connections = connections;
    this.requests = requests;
  }

  /**
   * Runs the loop; three tenths of the time are a warm-up that is not counted.
   *
   * @param seconds time of the whole run
   * @return what was measured
   * @throws InterruptedException when the thread is interrupted
   */
  public ThroughputFigures run(double seconds) throws InterruptedException {
    long startNanos = System.nanoTime();
    long countFromNanos = startNanos + (long) (seconds * WARM_UP_SHARE * NANOS_PER_SECOND);
    long endNanos = startNanos + (long) (seconds * NANOS_PER_SECOND);
    CountDownLatch done = new CountDownLatch(connections);
    for (int i = 0; i < connections; i++) {
      new Loop(client.connect(address), countFromNanos, endNanos, done).next();
    }
    long left = endNanos - System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    if (!done.await(left, TimeUnit.NANOSECONDS)) {
      wrong.addAndGet(done.getCount());
    }
    return new ThroughputFigures(
        times.getTotalCount(),
        wrong.get(),
        (endNanos - countFromNanos) / NANOS_PER_SECOND,
        times.getValueAtPercentile(99) / 1_000.0);
  }

  /** The requests of one connection. */
  private final class Loop {
    private final LoadConnection connection;
    private final long countFromNanos;
    private final long endNanos;
    private final CountDownLatch done;

    private Loop(
        LoadConnection connection, long countFromNanos, long endNanos, CountDownLatch done) {
      this.connection = connection;
      this.countFromNanos = countFromNanos;
      this.endNanos = endNanos;
      this.done = done;
    }

    private void next() {
      LoadRequest request = requests.apply(sent.getAndIncrement());
      connection.send(request, answer -> finished(request, answer));
    }

    private void finished(LoadRequest request, LoadAnswer answer) {
      boolean right = request.matches(answer);
      if (!right) {
        wrong.incrementAndGet();
      }
      long now = System.nanoTime();
      if (right && now >= countFromNanos && now < endNanos) {
        times.recordValue(answer.nanos() / 1_000);
      }
      if (now >= endNanos || answer.status() == 0) {
        done.countDown();
        return;
      }
      next();
    }
  }
}

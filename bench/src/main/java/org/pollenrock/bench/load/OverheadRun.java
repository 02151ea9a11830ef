package org.pollenrock.bench.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Alternates one streamed request between an engine and the router while other streams are open.
 *
 * <p>Both ways see the same load of the machine, so the difference is the router's.
 */
public final class OverheadRun {
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final int LEAST_BACKGROUND_TOKENS = 50;
  private static final int BACKGROUND_SPREAD = 100;
  private static final int TOKENS = 1;
  private static final int WARM_UP = 300;

  private final LoadClient client;
  private final String engineAddress;
  private final String routerAddress;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();

  /**
   * Prepares a run.
   *
   * @param client opens the connections
   * @param engineAddress direct access
   * @param routerAddress access through the router
   */
  public OverheadRun(LoadClient client, String engineAddress, String routerAddress) {
    this.client = client;
    this.engineAddress = engineAddress;
    this.routerAddress = routerAddress;
  }

  /**
   * Measures.
   *
   * @param streams background streams through the router; each that ends is followed by another
   * @param requests measured requests each way
   * @return the percentiles
   */
  public OverheadFigures run(int streams, int requests) {
    for (int i = 0; i < streams; i++) {
      background(client.connect(routerAddress));
    }
    LoadConnection direct = client.connect(engineAddress);
    LoadConnection routed = client.connect(routerAddress);
    Histogram directTimes = new Histogram(HIGHEST_MICROS, DIGITS);
    Histogram routedTimes = new Histogram(HIGHEST_MICROS, DIGITS);
    for (int i = 0; i < WARM_UP + requests; i++) {
      if (i == WARM_UP) {
        directTimes.reset();
        routedTimes.reset();
      }
      LoadRequest request = new LoadRequest.Completion("probe " + i, TOKENS, true);
      probe(direct, request, directTimes);
      probe(routed, request, routedTimes);
    }
    int openStreams = open.get();
    stopping.set(true);
    return new OverheadFigures(
        millis(directTimes, 50),
        millis(directTimes, 99),
        millis(routedTimes, 50),
        millis(routedTimes, 99),
        openStreams,
        wrong.get());
  }

  private void background(LoadConnection connection) {
    long number = started.getAndIncrement();
    // Different lengths keep the streams from ending, and their successors from starting, together.
    int tokens = LEAST_BACKGROUND_TOKENS + (int) (number % BACKGROUND_SPREAD);
    LoadRequest request = new LoadRequest.Completion("background " + number, tokens, true);
    open.incrementAndGet();
    connection.send(request, answer -> backgroundEnded(connection, request, answer));
  }

  private void backgroundEnded(LoadConnection connection, LoadRequest request, LoadAnswer answer) {
    open.decrementAndGet();
    if (stopping.get()) {
      return;
    }
    if (!request.matches(answer)) {
      wrong.incrementAndGet();
      return;
    }
    background(connection);
  }

  private void probe(LoadConnection connection, LoadRequest request, Histogram times) {
    CompletableFuture<LoadAnswer> future = new CompletableFuture<>();
    connection.send(request, future::complete);
    LoadAnswer answer = future.join();
    if (!request.matches(answer)) {
      wrong.incrementAndGet();
      return;
    }
    times.recordValue(answer.firstByteNanos() / 1_000);
  }

  private static double millis(Histogram times, double percentile) {
    return times.getValueAtPercentile(percentile) / 1_000.0;
  }
}

package org.pollenrock.ctl.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Sends the requests of a source at their drawn times and records how each ended. */
public final class LoadRun implements AutoCloseable {
  private static final int OK = 200;
  private static final int MAX_SUCCESS = 299;
  private static final long CUT_OFF_SECONDS = 5;
  private static final long PROGRESS_NANOS = 1_000_000_000L;

  private final List<URI> routers;
  private final RequestSource source;
  private final Duration timeout;
  private final int maxOpen;
  private final Semaphore open;
  private final HttpClient http;
  private final ExecutorService readers = Executors.newVirtualThreadPerTaskExecutor();
  private final LoadFigures figures = new LoadFigures();
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Prepares a run.
   *
   * @param routers callers' listeners, used in turn
   * @param source draws the requests
   * @param timeout time after which a request without the first byte of an answer is given up
   * @param maxOpen greatest number of open requests; beyond it requests are counted as not sent
   */
  public LoadRun(List<URI> routers, RequestSource source, Duration timeout, int maxOpen) {
    this.routers = List.copyOf(routers);
    this.source = Objects.requireNonNull(source, "source");
    this.timeout = Objects.requireNonNull(timeout, "timeout");
    this.maxOpen = maxOpen;
    this.open = new Semaphore(maxOpen);
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /**
   * Sends requests for some time and waits for the answers.
   *
   * @param perSecond mean rate of requests
   * @param duration how long to send
   * @param progress receives a line about each second
   * @return the figures
   * @throws InterruptedException when the thread is interrupted
   */
  public LoadFigures run(double perSecond, Duration duration, Consumer<String> progress)
      throws InterruptedException {
    long start = System.nanoTime();
    long end = start + duration.toNanos();
    long due = start + source.nextGapNanos(perSecond);
    long nextProgress = start + PROGRESS_NANOS;
    int sent = 0;
    while (due - end < 0) {
      while (due - System.nanoTime() > 0) {
        LockSupport.parkNanos(due - System.nanoTime());
      }
      LoadRequest request = source.next(System.currentTimeMillis());
      send(request, routers.get(sent++ % routers.size()), due);
      due += source.nextGapNanos(perSecond);
      if (System.nanoTime() - nextProgress >= 0) {
        progress.accept(progressLine(sent));
        nextProgress += PROGRESS_NANOS;
      }
    }
    finish();
    progress.accept(progressLine(sent));
    return figures;
  }

  /** Waits for the open requests; what is still open afterwards is cut off and counted. */
  private void finish() throws InterruptedException {
    boolean finished = open.tryAcquire(maxOpen, timeout.toNanos(), TimeUnit.NANOSECONDS);
    if (!finished) {
      http.shutdownNow();
      finished = open.tryAcquire(maxOpen, CUT_OFF_SECONDS, TimeUnit.SECONDS);
    }
    if (finished) {
      open.release(maxOpen);
    }
  }

  private String progressLine(int sent) {
    return "%d sent, %d completed, %d open"
        .formatted(
            sent, figures.count(LoadFigures.Ending.COMPLETED), maxOpen - open.availablePermits());
  }

  private void send(LoadRequest request, URI router, long due) {
    if (!open.tryAcquire()) {
      figures.count(request.kind(), LoadFigures.Ending.NOT_SENT);
      return;
    }
    http.sendAsync(toHttp(request, router), HttpResponse.BodyHandlers.ofLines())
        .thenAcceptAsync(response -> read(request, response, due), readers)
        .whenComplete(
            (nothing, failure) -> {
              if (failure != null) {
                figures.count(request.kind(), LoadFigures.Ending.NO_ANSWER);
              }
              open.release();
            });
  }

  private HttpRequest toHttp(LoadRequest request, URI router) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(router.resolve(request.path()))
            .timeout(timeout)
            .header("Authorization", "Bearer " + request.apiKey());
    request.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
    if (request.body().isEmpty()) {
      return builder.method(request.method(), HttpRequest.BodyPublishers.noBody()).build();
    }
    return builder
        .header("Content-Type", "application/json")
        .method(request.method(), HttpRequest.BodyPublishers.ofString(request.body()))
        .build();
  }

  private void read(LoadRequest request, HttpResponse<Stream<String>> response, long due) {
    long firstNanos = System.nanoTime();
    try (Stream<String> lines = response.body()) {
      if (response.statusCode() < OK || response.statusCode() > MAX_SUCCESS) {
        String body = String.join("\n", lines.limit(100).toList());
        figures.count(request.kind(), refusal(body));
        return;
      }
      AnswerReader reader = new AnswerReader(request.streamed());
      lines.forEach(line -> reader.line(line, System.nanoTime()));
      if (!reader.complete()) {
        figures.count(request.kind(), LoadFigures.Ending.INCOMPLETE);
        return;
      }
      long first = reader.firstDataNanos().orElse(firstNanos);
      figures.completed(request.kind(), first - due, System.nanoTime() - due);
    } catch (UncheckedIOException e) {
      figures.count(
          request.kind(),
          request.streamed() ? LoadFigures.Ending.INCOMPLETE : LoadFigures.Ending.NO_ANSWER);
    }
  }

  private LoadFigures.Ending refusal(String body) {
    try {
      return json.readTree(body).path("error").path("run").asText().equals("not_run")
          ? LoadFigures.Ending.REFUSED_NOT_RUN
          : LoadFigures.Ending.FAILED;
    } catch (JsonProcessingException e) {
      return LoadFigures.Ending.FAILED;
    }
  }

  @Override
  public void close() {
    http.shutdownNow();
    readers.shutdownNow();
  }
}

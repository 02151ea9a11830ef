package org.pollenrock.bench.drive;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.function.IntFunction;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;

/** Sends one request at a time, blocking; meant for virtual threads. */
public final class TraceClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";

  private final HttpClient client;
  private final RequestEncoder encoder;
  private final ExpectedText expected;
  private final IntFunction<String> entryAddress;
  private final int entries;

  /**
   * Makes a client.
   *
   * @param plainService path prefix of the plain service
   * @param versions weights versions whose text is right
   * @param timeout most time for a request
   * @param entryAddress address of the router with an index
   * @param entries number of routers
   */
  public TraceClient(
      String plainService,
      List<String> versions,
      Duration timeout,
      IntFunction<String> entryAddress,
      int entries) {
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(Executors.newVirtualThreadPerTaskExecutor())
            .build();
    this.encoder = new RequestEncoder(plainService, timeout);
    this.expected = new ExpectedText(versions);
    this.entryAddress = entryAddress;
    this.entries = entries;
  }

  /**
   * API key that the settings of an experiment give to a customer.
   *
   * @param customer index of the customer
   * @return the key
   */
  public static String apiKey(int customer) {
    return RequestEncoder.apiKey(customer);
  }

  /**
   * Sends a request and waits for its end.
   *
   * @param request the request
   * @param startNanos monotonic time of the trace's start
   * @return what the caller saw
   */
  public Outcome send(TimedRequest request, long startNanos) {
    Recorder recorder = new Recorder(request, startNanos);
    try {
      HttpResponse<InputStream> response = sendToLiveEntry(request);
      return read(response, recorder);
    } catch (IOException e) {
      return recorder.end(recorder.begun() ? Outcome.End.INCOMPLETE : Outcome.End.UNKNOWN, "io");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return recorder.end(Outcome.End.UNKNOWN, "interrupted");
    }
  }

  /** Like a load balancer, tries the next router when a connection is refused. */
  private HttpResponse<InputStream> sendToLiveEntry(TimedRequest request)
      throws IOException, InterruptedException {
    ConnectException refused = null;
    for (int i = 0; i < entries; i++) {
      String address = entryAddress.apply((request.entry() + i) % entries);
      HttpRequest http = encoder.encode(request, address);
      try {
        return client.send(http, HttpResponse.BodyHandlers.ofInputStream());
      } catch (ConnectException e) {
        refused = e;
      }
    }
    throw refused;
  }

  private Outcome read(HttpResponse<InputStream> response, Recorder recorder) throws IOException {
    recorder.cachedTokens(response.headers().firstValue("X-Pollenrock-Cached-Tokens").orElse("-1"));
    try (InputStream body = response.body()) {
      if (response.statusCode() != 200) {
        return refused(body, recorder);
      }
      return switch (recorder.request.kind().shape()) {
        case LONG_MODEL, SHORT_MODEL -> readStream(body, recorder);
        case IDEMPOTENT_CALL, NON_IDEMPOTENT_CALL -> readPlain(body, recorder);
      };
    }
  }

  private static Outcome refused(InputStream body, Recorder recorder) throws IOException {
    JsonNode error = JSON.readTree(body.readAllBytes()).path("error");
    Outcome.End end =
        switch (error.path("run").asText()) {
          case "not_run" -> Outcome.End.REFUSED_NOT_RUN;
          case "ran" -> Outcome.End.RAN;
          default -> Outcome.End.UNKNOWN;
        };
    return recorder.end(end, error.path("code").asText());
  }

  private Outcome readPlain(InputStream body, Recorder recorder) throws IOException {
    String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
    boolean posted = recorder.request.kind().shape() == TrafficKind.Shape.NON_IDEMPOTENT_CALL;
    boolean right = !posted || text.equals(recorder.request.prompt().user());
    return recorder.end(right ? Outcome.End.COMPLETED : Outcome.End.WRONG, "");
  }

  private Outcome readStream(InputStream body, Recorder recorder) throws IOException {
    StringBuilder text = new StringBuilder();
    BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
        String difference = expected.difference(recorder.request, text.toString());
        Outcome.End end = difference.isEmpty() ? Outcome.End.COMPLETED : Outcome.End.WRONG;
        return recorder.end(end, difference);
      }
      JsonNode event = JSON.readTree(data);
      if (event.has("error")) {
        return recorder.end(Outcome.End.INCOMPLETE, event.path("error").path("code").asText());
      }
      recorder.token();
      JsonNode choice = event.path("choices").path(0);
      text.append(choice.path("text").asText())
          .append(choice.path("delta").path("content").asText());
    }
    return recorder.end(Outcome.End.INCOMPLETE, "no_end_marker");
  }

  /** Times of one request. */
  private static final class Recorder {
    private final TimedRequest request;
    private final long startNanos;
    private long firstTokenNanos = -1;
    private int cachedTokens = -1;

    private Recorder(TimedRequest request, long startNanos) {
      this.request = request;
      this.startNanos = startNanos;
    }

    private boolean begun() {
      return firstTokenNanos >= 0;
    }

    private void cachedTokens(String header) {
      cachedTokens = Integer.parseInt(header);
    }

    private void token() {
      if (firstTokenNanos < 0) {
        firstTokenNanos = System.nanoTime() - startNanos;
      }
    }

    private Outcome end(Outcome.End end, String code) {
      return new Outcome(
          request,
          end,
          code,
          request.atNanos(),
          firstTokenNanos,
          System.nanoTime() - startNanos,
          cachedTokens);
    }
  }
}

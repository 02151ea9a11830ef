package org.pollenrock.soak;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.workload.Prompt;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;

/** One caller of one gateway that keeps its connections open and asks one thing after another. */
final class SoakCaller {
  /** Time beyond the deadline within which every request must have got its final answer. */
  private static final long ANSWER_SLACK_MILLIS = 1_000;

  private static final long MIN_PAUSE_MILLIS = 10;
  private static final long MAX_PAUSE_MILLIS = 60;

  static {
    // The client refuses to set the host header otherwise; it is read when the client is loaded.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private final String name;
  private final GatewayProcess gateway;
  private final SoakRecord record;
  private final SplittableRandom random;
  private final HttpClient client;
  private int number;

  SoakCaller(String name, GatewayProcess gateway, SoakRecord record, SplittableRandom random) {
    this.name = name;
    this.gateway = gateway;
    this.record = record;
    this.random = random;
    this.client = newClient();
  }

  /** Makes a client of a gateway; all are made here, after the property above has been set. */
  static HttpClient newClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(ANSWER_SLACK_MILLIS))
        .build();
  }

  /** Asks until a time; the pauses are random. */
  void runUntil(long endNanos) throws InterruptedException {
    while (System.nanoTime() - endNanos < 0) {
      ask(Call.values()[random.nextInt(Call.values().length)]);
      TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
    }
  }

  /** What a caller asks for. */
  enum Call {
    PLAIN(TrafficKind.BALANCE),
    POST(TrafficKind.REFUND),
    STREAM(TrafficKind.DISPUTE_SUMMARY),
    ONCE(TrafficKind.CONDITION_CHECK);

    private final TrafficKind kind;

    Call(TrafficKind kind) {
      this.kind = kind;
    }

    private boolean stream() {
      return this == STREAM || this == ONCE;
    }
  }

  /** Makes one request; gives whether the whole right answer arrived. */
  boolean ask(Call call) throws InterruptedException {
    String attempt = name + "-" + ++number;
    long start = System.nanoTime();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    CompletableFuture<HttpResponse<Void>> answer =
        client.sendAsync(
            request(call, attempt),
            HttpResponse.BodyHandlers.ofByteArrayConsumer(
                part -> part.ifPresent(body::writeBytes)));
    try {
      HttpResponse<Void> response =
          answer.get(SoakPlan.DEADLINE_MILLIS + ANSWER_SLACK_MILLIS, TimeUnit.MILLISECONDS);
      Outcome.End end = judge(call, attempt, response.statusCode(), body);
      end(
          call,
          attempt,
          start,
          end,
          end == Outcome.End.WRONG
              ? "got " + body.toString(StandardCharsets.UTF_8).replace("\n", "|")
              : "");
      return response.statusCode() == 200;
    } catch (TimeoutException e) {
      answer.cancel(true);
      if (!gateway.disturbedSince(start)) {
        record.violation("final-answer", attempt + " at " + gateway.name() + " got none in time");
      }
      end(call, attempt, start, Outcome.End.UNKNOWN, "timeout");
    } catch (ExecutionException e) {
      Outcome.End end =
          call.stream() && !prefixOf(SoakPlan.stream(attempt), body)
              ? Outcome.End.WRONG
              : Outcome.End.UNKNOWN;
      end(call, attempt, start, end, e.getCause() + " after " + body);
    }
    return false;
  }

  private HttpRequest request(Call call, String attempt) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(
                URI.create(
                    "http://%s/%s/x".formatted(host(), call.name().toLowerCase(Locale.ROOT))))
            .header("Attempt-Id", attempt)
            .header("Host", "soak.example")
            .header("Credential", "key")
            .header("Deadline-Ms", Long.toString(SoakPlan.DEADLINE_MILLIS));
    if (call.stream()) {
      builder
          .header("Model", SoakServer.MODEL)
          .header("Token-Count", "900," + SoakServer.EVENTS)
          .header("Prompt-Prefix", "s" + random.nextInt(6) + ":600," + attempt + ":300");
    }
    return call == Call.PLAIN
        ? builder.GET().build()
        : builder.POST(HttpRequest.BodyPublishers.ofString("body of " + attempt)).build();
  }

  private Outcome.End judge(Call call, String attempt, int status, ByteArrayOutputStream body) {
    if (status == 503 || status == 429) {
      return Outcome.End.REFUSED_NOT_RUN;
    }
    if (status != 200) {
      return Outcome.End.UNKNOWN;
    }
    String right = call.stream() ? SoakPlan.stream(attempt) : SoakPlan.plainBody(attempt);
    if (body.toString(StandardCharsets.UTF_8).equals(right)) {
      return Outcome.End.COMPLETED;
    }
    return call.stream() && prefixOf(right, body) ? Outcome.End.INCOMPLETE : Outcome.End.WRONG;
  }

  private static boolean prefixOf(String whole, ByteArrayOutputStream part) {
    return whole.startsWith(part.toString(StandardCharsets.UTF_8));
  }

  private String host() {
    return gateway.callerLink().address();
  }

  private void end(Call call, String attempt, long start, Outcome.End end, String code) {
    TimedRequest request =
        new TimedRequest(number, start, call.kind, 0, 0, new Prompt("", "", ""), attempt);
    record.ended(new Outcome(request, end, attempt + " " + code, start, -1, System.nanoTime(), -1));
  }
}

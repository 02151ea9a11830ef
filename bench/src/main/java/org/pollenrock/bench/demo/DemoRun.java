package org.pollenrock.bench.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.UUID;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.drive.TraceClient;
import org.pollenrock.bench.figure.PolicyFigures;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.standin.engine.GeneratedText;
import org.pollenrock.standin.service.Execution;

/** The requests of the demonstration: a shared prefix, its reuse, and one call that runs once. */
final class DemoRun {
  private static final String DOSSIER =
      "The dossier of route seven lists every pass, hut and spring. ".repeat(600);
  private static final String[] QUESTIONS = {
    "Where is water?", "Which pass is open?", "How long is day two?"
  };
  private static final int TOKENS = 12;
  private static final String DATA = "data: ";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final TestBed bed;
  private final PrintStream out;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private boolean right = true;

  DemoRun(TestBed bed, PrintStream out) {
    this.bed = bed;
    this.out = out;
  }

  boolean run() throws InterruptedException {
    bed.cluster().startHistory(System.nanoTime());
    try {
      out.println("Three streamed requests that share a long prefix:");
      for (String question : QUESTIONS) {
        stream(question);
      }
      out.println("One call that must run at most once, sent twice with the same key:");
      String key = timeOrderedKey();
      post(key);
      post(key);
      checkRunOnce(key);
    } catch (IOException e) {
      check(false, "a request failed: " + e);
    }
    double hitRate = PolicyFigures.hitRate(bed.cluster().engineRuns());
    out.printf(Locale.ROOT, "Prefix hit rate: %.2f%n", hitRate);
    check(hitRate > 0, "no prompt token was found in a cache");
    return right;
  }

  private void stream(String question) throws IOException, InterruptedException {
    String prompt = DOSSIER + question;
    String body =
        "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"prompt\":\"%s\"}"
            .formatted(Deployment.MODEL, TOKENS, prompt);
    HttpRequest request =
        request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body)).build();
    HttpResponse<InputStream> response =
        client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    out.printf("  %s%n    ", question);
    String text = readStream(response.body());
    String expected = GeneratedText.whole(prompt, Deployment.VERSION, TOKENS);
    out.printf(
        "%n    from %s, %s cached tokens%n",
        header(response, "X-Pollenrock-Server"), header(response, "X-Pollenrock-Cached-Tokens"));
    check(text.equals(expected), "the answer is not whole or not the right one");
  }

  private String readStream(InputStream body) throws IOException {
    StringBuilder text = new StringBuilder();
    boolean done = false;
    BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.equals(DATA + "[DONE]")) {
        done = true;
      } else if (line.startsWith(DATA)) {
        String word = DemoEvents.text(line.substring(DATA.length()));
        out.print(word);
        out.flush();
        text.append(word);
      }
    }
    return done ? text.toString() : "";
  }

  private void post(String key) throws IOException, InterruptedException {
    HttpRequest request =
        request("/ledger/postings")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"refund\":40}"))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    out.printf("  %d %s%n", response.statusCode(), response.body());
    check(response.statusCode() == 200, "the call was not answered with its outcome");
  }

  private void checkRunOnce(String key) {
    long runs = bed.cluster().postings().stream().map(Execution::key).filter(key::equals).count();
    out.printf("  the service ran it %d time(s)%n", runs);
    check(runs == 1, "the call did not run exactly once");
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + bed.entryAddress(0) + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + TraceClient.apiKey(0))
        .header("Content-Type", "application/json");
  }

  private static String header(HttpResponse<?> response, String name) {
    return response.headers().firstValue(name).orElse("-");
  }

  private static String timeOrderedKey() {
    long high = System.currentTimeMillis() << 16 | 0x7000L;
    return new UUID(high, 0x8000_0000_0000_0001L).toString();
  }

  private void check(boolean condition, String failure) {
    if (!condition) {
      right = false;
      out.println("  FAILED: " + failure);
    }
  }
}

package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards requests against faults of servers, links and callers. */
class RouterFaultTest {
  private static final RouterTimes IMPATIENT =
      new RouterTimes(
          Duration.ofMillis(500),
          2,
          Duration.ofMillis(500),
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          Duration.ofMillis(50));
  private static final long SEED = 7403;

  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(3, IMPATIENT);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private HttpRequest request(boolean stream, int tokens) {
    return cluster
        .request("/v1/chat/completions")
        .POST(HttpRequest.BodyPublishers.ofString(TestCluster.chat(stream, tokens)))
        .build();
  }

  private HttpResponse<String> send(boolean stream, int tokens) throws Exception {
    return cluster.client().send(request(stream, tokens), HttpResponse.BodyHandlers.ofString());
  }

  private List<CompletableFuture<HttpResponse<String>>> open(int count, int tokens) {
    List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      streams.add(
          cluster.client().sendAsync(request(true, tokens), HttpResponse.BodyHandlers.ofString()));
    }
    return streams;
  }

  private static void assertAllComplete(List<CompletableFuture<HttpResponse<String>>> streams) {
    assertThat(streams)
        .allSatisfy(stream -> assertThat(stream.join().body()).endsWith("data: [DONE]\n\n"));
  }

  @Test
  void streamsSurviveTheCrashOfAnEngine() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> streams = open(12, 60);
    assertThat(send(true, 3).statusCode()).isEqualTo(200);
    cluster.engines().get(0).crash(Duration.ofMillis(100));
    cluster.engines().get(1).crash(Duration.ofMillis(100));
    assertAllComplete(streams);
  }

  @Test
  void requestsSurviveACrashBeforeTheirFirstToken() {
    List<CompletableFuture<HttpResponse<String>>> streams = open(12, 5);
    cluster.engines().get(0).crash(Duration.ofMillis(100));
    cluster.engines().get(1).crash(Duration.ofMillis(100));
    assertAllComplete(streams);
  }

  @Test
  void silentConnectionsAreReplacedByFreshOnes() throws Exception {
    assertThat(send(true, 2).statusCode()).isEqualTo(200);
    cluster.engines().forEach(engine -> engine.silenceConnections());
    assertAllComplete(open(4, 4));
  }

  @Test
  void leavingEngineReceivesNoNewRequests() throws Exception {
    String first = send(true, 2).headers().firstValue("X-Pollenrock-Server").orElseThrow();
    cluster.engines().stream()
        .filter(engine -> engine.settings().name().equals(first))
        .forEach(engine -> engine.leaving(true));
    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = send(true, 2);
      assertThat(response.body()).endsWith("data: [DONE]\n\n");
      assertThat(response.headers().firstValue("X-Pollenrock-Server")).isNotEqualTo(first);
    }
  }

  @Test
  void logOutageRefusesOnlyWhatNeedsTheLog() throws Exception {
    cluster.log().outage(true);
    String body =
        cluster
            .client()
            .send(
                cluster
                    .request("/ledger/refunds")
                    .header("Idempotency-Key", "01890a5d-ac96-774b-bcce-b302099a8057")
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build(),
                HttpResponse.BodyHandlers.ofString())
            .body();
    assertThat(body).contains("\"run\":\"not_run\"");
    assertThat(send(true, 2).statusCode()).isEqualTo(200);
  }

  @Test
  void callerThatLeavesEndsTheWorkOnTheEngine() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", cluster.router().callerAddress().getPort())) {
      String body = TestCluster.chat(true, 100_000);
      String head =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n"
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      assertThat(socket.getInputStream().read()).isEqualTo('H');
    }
    TestCluster.await(() -> cluster.operator("/state").contains("\"placed\":0"));
    assertThat(cluster.operator("/metrics")).contains("result=\"caller_gone\"");
  }

  @Test
  void randomInputLeavesOtherConnectionsUndisturbed() throws Exception {
    Random random = new Random(SEED);
    List<CompletableFuture<HttpResponse<String>>> streams = open(4, 40);
    for (int i = 0; i < 200; i++) {
      byte[] input =
          ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{\"model\":")
              .getBytes(StandardCharsets.ISO_8859_1);
      for (int j = random.nextInt(10); j > 0; j--) {
        input[random.nextInt(input.length)] = (byte) random.nextInt();
      }
      try (Socket socket = new Socket("127.0.0.1", cluster.router().callerAddress().getPort())) {
        socket.getOutputStream().write(input);
        socket.shutdownOutput();
        try (InputStream answers = socket.getInputStream()) {
          String answer = new String(answers.readAllBytes(), StandardCharsets.ISO_8859_1);
          assertThat(answer.isEmpty() || answer.startsWith("HTTP/1.1 ")).isTrue();
        }
      }
    }
    assertAllComplete(streams);
  }
}

package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards planned stops against interrupted requests, and operators against wrong health. */
class DrainTest {
  /** More than the buffers of the sockets hold. */
  private static final int ANSWERS = 4;

  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(1, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void drainFinishesOpenStreams() {
    CompletableFuture<HttpResponse<String>> stream =
        cluster
            .client()
            .sendAsync(
                cluster
                    .request("/v1/chat/completions")
                    .POST(HttpRequest.BodyPublishers.ofString(TestCluster.chat(true, 80)))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
    TestCluster.await(() -> cluster.operator("/state").contains("\"placed\":1"));
    CompletableFuture<Integer> drained = cluster.router().drain();
    assertThat(stream.join().body()).endsWith("data: [DONE]\n\n");
    assertThat(drained.join()).isZero();
  }

  @Test
  void abortedDrainCountsWhatItInterrupts() {
    CompletableFuture<HttpResponse<String>> stream =
        cluster
            .client()
            .sendAsync(
                cluster
                    .request("/v1/chat/completions")
                    .POST(HttpRequest.BodyPublishers.ofString(TestCluster.chat(true, 100_000)))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
    TestCluster.await(() -> cluster.operator("/state").contains("\"placed\":1"));
    CompletableFuture<Integer> drained = cluster.router().drain();
    cluster.router().abortDrain();
    assertThat(drained.join()).isEqualTo(1);
    assertThat(stream).failsWithin(java.time.Duration.ofSeconds(30));
  }

  /** Guards against the cut of an answer that was given before the stop and is read slowly. */
  @Test
  void drainWaitsForACallerWhoReadsSlowly() throws Exception {
    String body = "x".repeat(7 << 20);
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(4_096);
      caller.connect(cluster.router().callerAddress());
      String head =
          "POST /ledger/calls HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n"
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n";
      byte[] request = (head + body).getBytes(StandardCharsets.US_ASCII);
      for (int i = 0; i < ANSWERS; i++) {
        caller.getOutputStream().write(request);
      }
      InputStream in = caller.getInputStream();
      assertThat(in.read()).isEqualTo('H');
      TestCluster.await(
          () ->
              cluster.ledgers().stream().mapToInt(ledger -> ledger.executions().size()).sum()
                  == ANSWERS);
      Thread.sleep(500);
      CompletableFuture<Integer> drained = cluster.router().drain();
      Thread.sleep(2_500);
      assertThat(in.readAllBytes().length).isGreaterThan(ANSWERS * body.length());
      assertThat(drained.join()).isZero();
    }
  }

  @Test
  void operatorsSeeHealthStateAndExplanation() throws Exception {
    cluster.send("POST", "/v1/chat/completions", TestCluster.chat(true, 2));
    assertThat(cluster.operator("/livez")).isEqualTo("ok\n");
    assertThat(cluster.operator("/readyz")).isEqualTo("ready\n");
    assertThat(cluster.operator("/metrics")).contains("pollenrock_settings_available 1.0");
    assertThat(cluster.operator("/state"))
        .contains("\"id\":\"engine-0\"", "\"revision\":0")
        .doesNotContain("hello", TestCluster.KEY);
    assertThat(cluster.operator("/explain"))
        .contains("\"server\":\"engine-0\"", "\"total_ms\"")
        .doesNotContain("hello");
  }
}

package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards planned stops against interrupted requests, and operators against wrong health. */
class DrainTest {
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

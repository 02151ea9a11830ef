package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.settings.SettingsTree;

/** Guards against calls that run twice, and against settings that do not come from the log. */
class ClaimsTest {
  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(1, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private static String newKey(int number) {
    long high = System.currentTimeMillis() << 16 | 0x7000L;
    return new UUID(high, 0x8000_0000_0000_0000L | number).toString();
  }

  private HttpRequest posting(String key, String body) {
    return cluster
        .request("/ledger/refunds")
        .header("Idempotency-Key", key)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private HttpResponse<String> post(String key, String body) throws Exception {
    return cluster.client().send(posting(key, body), HttpResponse.BodyHandlers.ofString());
  }

  private long runs() {
    return cluster.ledgers().stream().mapToLong(ledger -> ledger.executions().size()).sum();
  }

  @Test
  void concurrentCallsWithOneKeyRunOnceAndGetTheSameAnswer() {
    String key = newKey(1);
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      calls.add(
          cluster
              .client()
              .sendAsync(posting(key, "{\"amount\":1}"), HttpResponse.BodyHandlers.ofString()));
    }
    assertThat(calls)
        .allSatisfy(
            call -> {
              assertThat(call.join().statusCode()).isEqualTo(200);
              assertThat(call.join().body()).isEqualTo("{\"amount\":1}");
            });
    assertThat(runs()).isEqualTo(1);
  }

  @Test
  void lostAppendAnswerDoesNotRunTheCallTwice() throws Exception {
    cluster.log().loseAcknowledgements(1);
    assertThat(post(newKey(2), "{}").statusCode()).isEqualTo(200);
    assertThat(runs()).isEqualTo(1);
  }

  @Test
  void lostAnswerIsUnknownForEveryCallWithTheKey() throws Exception {
    cluster.ledgers().forEach(ledger -> ledger.loseAnswers(1));
    String key = newKey(3);
    assertThat(post(key, "{}").body()).contains("\"run\":\"unknown\"");
    assertThat(post(key, "{}").body()).contains("\"run\":\"unknown\"");
    assertThat(runs()).isEqualTo(1);
  }

  @Test
  void keyWithAnotherBodyIsRefusedAsNotRun() throws Exception {
    String key = newKey(4);
    assertThat(post(key, "{\"amount\":1}").statusCode()).isEqualTo(200);
    assertThat(post(key, "{\"amount\":2}").body())
        .contains("\"code\":\"idempotency_key_reused\"", "\"run\":\"not_run\"");
    assertThat(post("no-key", "{}").body()).contains("\"code\":\"invalid_idempotency_key\"");
  }

  @Test
  void acceptedChangeIsInForceForNewRequests() throws Exception {
    long revision = cluster.publish(TestCluster.tree(), SettingsTree.EMPTY);
    TestCluster.await(() -> cluster.router().revision() == revision);
    assertThat(cluster.send("GET", "/v1/models", "").body())
        .contains("\"code\":\"unauthenticated\"");
  }
}

package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the whole way of a request from the caller to a server and back. */
class RouterTest {
  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(2, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private HttpResponse<String> stream(int tokens) throws Exception {
    return cluster.send("POST", "/v1/chat/completions", TestCluster.chat(true, tokens));
  }

  private static void assertComplete(HttpResponse<String> response, int tokens) {
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body().lines().filter(line -> line.startsWith("id: ")))
        .containsExactlyElementsOf(
            IntStream.range(0, tokens).mapToObj(index -> "id: " + index).toList());
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
  }

  private long ledgerRuns() {
    return cluster.ledgers().stream().mapToLong(ledger -> ledger.executions().size()).sum();
  }

  @Test
  void relaysStreamInOrderUpToItsEndMarker() throws Exception {
    HttpResponse<String> response = stream(5);
    assertComplete(response, 5);
    assertThat(response.headers().firstValue("X-Pollenrock-Server")).isPresent();
    assertThat(response.headers().firstValue("X-Pollenrock-Revision")).contains("0");
  }

  @Test
  void relaysWholeAnswer() throws Exception {
    HttpResponse<String> response =
        cluster.send("POST", "/v1/chat/completions", TestCluster.chat(false, 5));
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("\"completion_tokens\":5");
  }

  @Test
  void resumesBrokenStreamWithoutLossOrRepetition() throws Exception {
    String expected = stream(8).body();
    cluster.engines().forEach(engine -> engine.cutStreams(1));
    HttpResponse<String> response = stream(8);
    assertComplete(response, 8);
    assertThat(text(response.body())).isEqualTo(text(expected));
  }

  private static String text(String body) {
    return String.join(
        "",
        body.lines()
            .filter(line -> line.startsWith("data: {"))
            .map(line -> line.replaceAll(".*\"content\":\"([^\"]*)\".*", "$1"))
            .toList());
  }

  @Test
  void triesAnotherTimeWhenAnswerBelongsToAnotherRequest() throws Exception {
    cluster.engines().forEach(engine -> engine.answerForOthers(1));
    assertComplete(stream(3), 3);
  }

  @Test
  void runsNonIdempotentCallOnceWhenItsAnswerIsLost() throws Exception {
    cluster.ledgers().forEach(ledger -> ledger.loseAnswers(1));
    HttpResponse<String> response = cluster.send("POST", "/ledger/refunds", "{}");
    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"run\":\"unknown\"");
    assertThat(ledgerRuns()).isEqualTo(1);
  }

  @Test
  void repeatsIdempotentCallWhenItsAnswerIsLost() throws Exception {
    cluster.ledgers().get(0).loseAnswers(1);
    cluster.ledgers().get(1).loseAnswers(1);
    assertThat(cluster.send("GET", "/ledger/accounts/1", "").statusCode()).isEqualTo(200);
  }

  @Test
  void refusesUnknownKeyModelAndRouteAsNotRun() throws Exception {
    assertThat(cluster.send("GET", "/nothing", "").body())
        .contains("\"code\":\"unknown_route\"", "\"run\":\"not_run\"", "\"step\":\"resolve\"");
    assertThat(cluster.send("POST", "/v1/completions", "{\"model\":\"x\",\"prompt\":\"p\"}").body())
        .contains("\"code\":\"unknown_model\"");
    assertThat(cluster.send("POST", "/v1/completions", "{\"model\":").body())
        .contains("\"code\":\"malformed_request\"", "\"step\":\"read\"");
  }
}

package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.standin.engine.ChatText;
import org.pollenrock.standin.engine.GeneratedText;

/** Guards against repaired streams whose text differs from that of an unbroken one. */
class StreamRepairTest {
  private static final int TOKENS = 20;

  private final ObjectMapper json = new ObjectMapper();
  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(2, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void resumedStreamHasTheTextOfAnUnbrokenOne() throws Exception {
    cluster.engines().forEach(engine -> engine.cutStreams(1));

    assertWhole(send().body());
  }

  /**
   * The engine that serves the prompt breaks the stream again when it is resumed, so the stream is
   * continued on the other engine, broken there, and resumed there. A resumption that sent the
   * caller's body in place of the continuation repeated text and still ended with the end marker.
   */
  @Test
  void resumedContinuationHasTheTextOfAnUnbrokenOne() throws Exception {
    String first = send().headers().firstValue("X-Pollenrock-Server").orElseThrow();
    cluster.engines().forEach(engine -> engine.cutStreams(1));
    cluster.engines().stream()
        .filter(engine -> engine.settings().name().equals(first))
        .forEach(engine -> engine.cutStreams(1));

    assertWhole(send().body());
  }

  /** Guards against one token too many when only the end marker was lost. */
  @Test
  void streamThatLostItsEndMarkerOnlyIsCompleted() throws Exception {
    cluster.engines().forEach(engine -> engine.cutEnds(1));

    assertWhole(send().body());
  }

  @Test
  void streamsBrokenTogetherHaveTheTextOfUnbrokenOnes() throws Exception {
    cluster.engines().forEach(engine -> engine.cutStreams(3));
    var streams =
        IntStream.range(0, 6)
            .mapToObj(
                i -> cluster.client().sendAsync(request(), HttpResponse.BodyHandlers.ofString()))
            .toList();

    for (CompletableFuture<HttpResponse<String>> stream : streams) {
      assertWhole(stream.join().body());
    }
  }

  private HttpResponse<String> send() throws Exception {
    return cluster.client().send(request(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest request() {
    return cluster
        .request("/v1/chat/completions")
        .POST(HttpRequest.BodyPublishers.ofString(TestCluster.chat(true, TOKENS)))
        .build();
  }

  private void assertWhole(String events) throws Exception {
    assertThat(events).endsWith("data: [DONE]\n\n");
    StringBuilder text = new StringBuilder();
    for (String line : events.split("\n")) {
      if (line.startsWith("data: {")) {
        JsonNode event = json.readTree(line.substring("data: ".length()));
        text.append(event.path("choices").path(0).path("delta").path("content").asText());
      }
    }
    String prompt = ChatText.of(json.readTree(TestCluster.chat(true, TOKENS)));
    assertThat(text.toString())
        .isEqualTo(
            GeneratedText.whole(prompt, cluster.engines().getFirst().settings().version(), TOKENS));
  }
}

package org.pollenrock.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.standin.StandinClient;

/** Guards against a stand-in whose faults or cache differ from what the experiments assume. */
class EngineStandinTest {
  private static final String PROMPT = "p".repeat(9_000);
  private static final int TOKENS = 6;

  private final StandinClient client = new StandinClient();
  private final ObjectMapper json = new ObjectMapper();
  private EventLoopGroup group;
  private EngineStandin engine;

  @BeforeEach
  void start() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    engine =
        new EngineStandin(
            group,
            EngineSettings.of("engine-1", "m", "v1"),
            5,
            (model, version) -> CompletableFuture.completedFuture(true),
            execution -> {});
    engine.start();
  }

  @AfterEach
  void stop() {
    engine.stop();
    group.shutdownGracefully();
  }

  @Test
  void secondRequestFindsBlocksOfTheFirst() throws Exception {
    complete(PROMPT, false, Map.of());
    HttpResponse<String> second = complete(PROMPT, false, Map.of());

    assertThat(second.headers().firstValue("X-Cached-Tokens")).hasValue("2048");
    assertThat(json.readTree(second.body()).path("choices").get(0).path("text").asText())
        .isEqualTo(GeneratedText.whole(PROMPT, "v1", TOKENS));
  }

  @Test
  void streamContinuedFromPromptAndTextSoFarEqualsUnbrokenStream() throws Exception {
    String whole = GeneratedText.whole(PROMPT, "v1", TOKENS);
    String soFar = GeneratedText.whole(PROMPT, "v1", 2);

    HttpResponse<String> rest = complete(PROMPT + soFar, false, Map.of());

    JsonNode text = json.readTree(rest.body()).path("choices").get(0).path("text");
    assertThat(soFar + text.asText()).startsWith(whole);
  }

  @Test
  void resumedStreamStartsAtTheNextToken() throws Exception {
    HttpResponse<String> rest = complete(PROMPT, true, Map.of("Last-Event-ID", "2"));

    assertThat(rest.body()).startsWith("id: 3\n").contains("id: 5\n").endsWith("[DONE]\n\n");
  }

  @Test
  void cutStreamEndsWithoutEndMarker() {
    engine.cutStreams(1);

    assertThatThrownBy(() -> complete(PROMPT, true, Map.of())).isInstanceOf(IOException.class);
  }

  @Test
  void refusesAnotherIncarnation() throws Exception {
    HttpResponse<String> refused = complete(PROMPT, false, Map.of("X-Expected-Incarnation", "4"));

    assertThat(refused.statusCode()).isEqualTo(409);
    assertThat(refused.headers().firstValue("X-Incarnation")).hasValue("5");
  }

  @Test
  void refusesOrderWithOldFence() throws Exception {
    assertThat(order(7)).isEqualTo(202);
    assertThat(order(6)).isEqualTo(409);
  }

  private int order(long fence) throws Exception {
    String body = "{\"order_id\":\"o\",\"model\":\"m\",\"version\":\"v2\",\"fence\":" + fence + "}";
    String url = "http://" + engine.address() + "/server/orders";
    return client.post(url, body, Map.of()).statusCode();
  }

  private HttpResponse<String> complete(String prompt, boolean stream, Map<String, String> extra)
      throws IOException, InterruptedException {
    String body =
        json.createObjectNode()
            .put("model", "m")
            .put("prompt", prompt)
            .put("stream", stream)
            .put("max_tokens", TOKENS)
            .put("cache_salt", "customer")
            .toString();
    byte[] keys = new byte[32];
    keys[31] = 1;
    Map<String, String> headers = new HashMap<>(extra);
    headers.put("X-Attempt-Id", "router-1-1");
    headers.put("X-Block-Keys", Base64.getEncoder().encodeToString(keys));
    return client.post("http://" + engine.address() + "/v1/completions", body, headers);
  }
}

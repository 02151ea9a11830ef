package org.pollenrock.adapters.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.ScriptedServer;
import org.pollenrock.adapters.http.TransportBed;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Priority;

/** Guards streams against engines that break an answer off and begin another one. */
class BrokenStreamTest {
  private static final String ATTEMPT = "router/1/1";
  private static final List<String> TOKENS = List.of("{\"one\":1}", "{\"two\":2}", "[DONE]");

  private final TransportBed bed = new TransportBed();

  @AfterEach
  void stop() {
    bed.close();
  }

  private static String stream() {
    StringBuilder text =
        new StringBuilder(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: router/1/1\r\nX-Incarnation: 7\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < TOKENS.size(); i++) {
      // A comment makes the chunk as long as the head of another response.
      String event = "id: " + i + "\ndata: " + TOKENS.get(i) + "\n\n:" + " ".repeat(200) + "\n";
      text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
    }
    return text.append("0\r\n\r\n").toString();
  }

  /** Guards against events and refusals made of the bytes of two answers. */
  @ParameterizedTest
  @ValueSource(ints = {500, 503, 409, 429})
  void streamThatBeginsTwiceBreaksBehindItsOwnEvents(int status) throws IOException {
    String first = stream();
    for (int cut = 1; cut < first.length(); cut++) {
      String text = first.substring(0, cut) + TransportBed.whole(status, ATTEMPT);
      assertOwnEventsAndABreak(cut, text);
    }
  }

  /** Guards against events that end with the head of a refusal which names no request. */
  @Test
  void streamFollowedByAnAnonymousRefusalBreaksBehindItsOwnEvents() throws IOException {
    String first = stream();
    String refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    for (int cut = 1; cut < first.length(); cut++) {
      assertOwnEventsAndABreak(cut, first.substring(0, cut) + refusal);
    }
  }

  /** Guards against the end of a connection as the end of a stream. */
  @Test
  void streamCutByACloseBreaksBehindItsOwnEvents() throws IOException {
    String first = stream();
    for (int cut = 1; cut < first.length(); cut++) {
      assertOwnEventsAndABreak(cut, first.substring(0, cut));
    }
  }

  private void assertOwnEventsAndABreak(int cut, String text) throws IOException {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(out, text);
              return false;
            })) {
      Recorder recorder = new Recorder();
      client().open(request(server), recorder);
      assertThat(recorder.failure.join()).as("cut at %d", cut).contains("Broken");
      assertThat(TOKENS.subList(0, recorder.events.size()))
          .as("cut at %d", cut)
          .isEqualTo(recorder.events);
    }
  }

  private HttpEngineClient client() {
    return new HttpEngineClient(
        bed.transport(),
        new HttpEngineClient.Bounds(4_096, 4_096, 4_096, Duration.ofSeconds(1)),
        new HeldBytes(1 << 20));
  }

  private static EngineRequest request(ScriptedServer server) {
    return new EngineRequest(
        new EngineAddress(new BackendServerId("engine-1"), server.address()),
        "/v1/chat/completions",
        "{}".getBytes(StandardCharsets.UTF_8),
        true,
        ATTEMPT,
        Optional.empty(),
        Optional.empty(),
        Priority.INTERACTIVE,
        OptionalLong.empty(),
        List.of(),
        OptionalLong.empty(),
        ConnectionUse.ANY);
  }

  private static final class Recorder implements EngineListener {
    private final List<String> events = new ArrayList<>();
    private final CompletableFuture<String> failure = new CompletableFuture<>();

    @Override
    public void onHead(EngineHead head) {
      // The test looks at events only.
    }

    @Override
    public void onEvent(SseEvent event) {
      events.add(event.data());
    }

    @Override
    public void onBody(byte[] body) {
      failure.complete("body");
    }

    @Override
    public void onEnd() {
      failure.complete("end");
    }

    @Override
    public void onFailure(EngineFailure cause) {
      failure.complete(cause.toString());
    }
  }
}

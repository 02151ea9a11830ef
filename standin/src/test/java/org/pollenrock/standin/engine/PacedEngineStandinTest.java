package org.pollenrock.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.standin.StandinClient;

/** Guards against a paced engine whose answers differ from those of the batching engine. */
class PacedEngineStandinTest {
  private static final Pattern WORD = Pattern.compile("\"text\":\"([^\"]*)\"");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PacedEngineStandin engine =
      new PacedEngineStandin(group, "assistant", "v1", Duration.ZERO);

  @AfterEach
  void stop() {
    engine.stop();
    group.shutdownGracefully();
  }

  @Test
  void streamsWholeAnswerWithEndMarker() throws Exception {
    String body = complete(true);

    assertThat(text(body)).isEqualTo(GeneratedText.whole("prompt", "v1", 3));
    assertThat(body).contains("id: 2\n").endsWith("data: [DONE]\n\n");
  }

  @Test
  void sendsWholeAnswerAtOnce() throws Exception {
    assertThat(text(complete(false))).isEqualTo(GeneratedText.whole("prompt", "v1", 3));
  }

  private String complete(boolean stream) throws Exception {
    engine.start();
    String request =
        "{\"model\":\"assistant\",\"prompt\":\"prompt\",\"max_tokens\":3,\"stream\":%b}"
            .formatted(stream);
    String url = "http://" + engine.address() + "/v1/completions";
    return new StandinClient().post(url, request, Map.of("X-Attempt-Id", "r-1-1")).body();
  }

  private static String text(String body) {
    return WORD.matcher(body)
        .results()
        .map((MatchResult match) -> match.group(1))
        .collect(Collectors.joining());
  }
}

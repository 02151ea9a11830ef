package org.pollenrock.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.standin.engine.GeneratedText;

/** Guards against a load figure that counts answers that are errors, incomplete or swapped. */
class LoadRequestTest {
  private static final LoadRequest STREAM = new LoadRequest.Completion("prompt", 2, true);

  @Test
  void acceptsWholeStream() {
    assertThat(STREAM.matches(answer(200, stream("prompt", 2) + "data: [DONE]\n\n"))).isTrue();
  }

  @Test
  void rejectsStreamWithoutEndMarker() {
    assertThat(STREAM.matches(answer(200, stream("prompt", 2)))).isFalse();
  }

  @Test
  void rejectsStreamWithMissingToken() {
    assertThat(STREAM.matches(answer(200, stream("prompt", 1) + "data: [DONE]\n\n"))).isFalse();
  }

  @Test
  void rejectsStreamOfAnotherPrompt() {
    assertThat(STREAM.matches(answer(200, stream("other", 2) + "data: [DONE]\n\n"))).isFalse();
  }

  @Test
  void rejectsErrorsAndClosedConnections() {
    LoadRequest get = new LoadRequest.PlainGet("/ledger", 7);

    assertThat(get.matches(answer(200, "/accounts/7"))).isTrue();
    assertThat(get.matches(answer(503, "/accounts/7"))).isFalse();
    assertThat(get.matches(answer(0, "/accounts/7"))).isFalse();
    assertThat(get.matches(answer(200, "/accounts/8"))).isFalse();
  }

  private static String stream(String prompt, int tokens) {
    GeneratedText text = new GeneratedText(prompt, Deployment.VERSION);
    StringBuilder events = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      events.append("data: {\"choices\":[{\"text\":\"").append(text.next()).append("\"}]}\n\n");
    }
    return events.toString();
  }

  private static LoadAnswer answer(int status, String body) {
    return new LoadAnswer(status, body, 0, 1);
  }
}

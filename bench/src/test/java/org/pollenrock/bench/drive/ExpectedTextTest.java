package org.pollenrock.bench.drive;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.bench.workload.Prompt;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;
import org.pollenrock.standin.engine.GeneratedText;

/** Guards against a driver that accepts an answer with missing, additional or mixed words. */
class ExpectedTextTest {
  private static final TimedRequest REQUEST =
      new TimedRequest(
          1, 0, TrafficKind.CONDITION_CHECK, 0, 0, new Prompt("", "shared ", "question"), "");
  private static final String PROMPT = "shared question";

  private final ExpectedText expected = new ExpectedText(List.of("v1", "v2"));

  @Test
  void acceptsTheTextOfEitherVersion() {
    assertThat(expected.difference(REQUEST, GeneratedText.whole(PROMPT, "v1", 4))).isEmpty();
    assertThat(expected.difference(REQUEST, GeneratedText.whole(PROMPT, "v2", 4))).isEmpty();
  }

  @Test
  void namesAdditionalWord() {
    assertThat(expected.difference(REQUEST, GeneratedText.whole(PROMPT, "v1", 5)))
        .isEqualTo("differs_after_word_4_of_4_has_5");
  }

  @Test
  void namesWordsOfAnotherVersion() {
    String begun = GeneratedText.whole(PROMPT, "v1", 2);
    GeneratedText other = new GeneratedText(PROMPT + begun, "v2");

    assertThat(expected.difference(REQUEST, begun + other.next() + other.next()))
        .isEqualTo("differs_after_word_2_of_4_has_4");
  }
}

package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;

/** Guards against log lines of failed sends that hide what their prompts have in common. */
class CallerRequestMetadataTest {
  private static CallerRequestMetadata metadata(List<PromptPart> parts) {
    return new CallerRequestMetadata(
        "id",
        Optional.empty(),
        OptionalLong.empty(),
        Optional.of(new Prompt("m", 100, 10, parts)),
        OptionalLong.empty(),
        OptionalLong.empty(),
        Optional.empty(),
        List.of());
  }

  @Test
  void namesAllPartsButTheLast() {
    List<PromptPart> parts =
        List.of(new PromptPart("a1", 10), new PromptPart("b2", 20), new PromptPart("own", 5));
    assertThat(metadata(parts).sharedPartIds()).contains("a1,b2");
    assertThat(metadata(List.of(new PromptPart("own", 5))).sharedPartIds()).isEmpty();
  }

  /** A caller must not be able to fill the log with a long list of parts. */
  @Test
  void boundsTheLengthOfTheIds() {
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      parts.add(new PromptPart("part" + i, 1));
    }
    assertThat(metadata(parts).sharedPartIds().orElseThrow()).hasSize(200);
  }
}

package org.pollenrock.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.pollenrock.core.settings.SettingsTree;

/** Guards against documents that make the reader throw, hang or misreport. */
class SettingsFuzzTest {
  private static final int TRIES = Boolean.getBoolean("pollenrock.long") ? 40 : 4;
  private static final String ALPHABET = "ab:-?[]{}&*!|>'\"%@`#,. \n\t~<1\u0000\u0085\uD800\\x";
  private static final String EXAMPLE = Examples.read("chama/settings.yaml");
  private static final String PROCESS = Examples.read("chama/router-kurasini-1.yaml");

  private static void assertTyped(String text) {
    assertErrorsOrValue(SettingsReader.readTree("f", text));
    assertErrorsOrValue(SettingsReader.readProcess("f", text));
  }

  private static void assertErrorsOrValue(ReadResult<?> result) {
    if (result instanceof ReadResult.Invalid<?> invalid) {
      assertThat(invalid.errors()).isNotEmpty();
      assertThat(invalid.errors()).allMatch(error -> error.line() > 0 && error.column() > 0);
    }
  }

  @Property(seed = "7201", tries = 300, shrinking = ShrinkingMode.FULL)
  void randomDocuments(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < TRIES; i++) {
      StringBuilder text = new StringBuilder();
      int length = random.nextInt(200);
      for (int j = 0; j < length; j++) {
        text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
      }
      assertTyped(text.toString());
    }
  }

  @Property(seed = "7202", tries = 150, shrinking = ShrinkingMode.FULL)
  void mutatedExamples(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < TRIES; i++) {
      assertTyped(mutate(random.nextBoolean() ? EXAMPLE : PROCESS, random));
    }
  }

  private static String mutate(String example, Random random) {
    StringBuilder text = new StringBuilder(example);
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      int at = random.nextInt(text.length() - 30);
      switch (random.nextInt(4)) {
        case 0 -> text.delete(at, at + 1 + random.nextInt(20));
        case 1 -> text.insert(at, text.substring(at, at + 1 + random.nextInt(20)));
        case 2 -> text.insert(at, ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        default -> text.setCharAt(at, ALPHABET.charAt(random.nextInt(ALPHABET.length())));
      }
    }
    return text.toString();
  }

  /** Fails when a mutation that passes the checks does not survive writing and reading. */
  @Property(seed = "7203", tries = 300, shrinking = ShrinkingMode.FULL)
  void validMutationsSurviveWriting(@ForAll long seed) {
    String text = mutate(EXAMPLE, new Random(seed));
    if (SettingsReader.readTree("f", text) instanceof ReadResult.Valid<SettingsTree>(var tree)) {
      assertThat(SettingsReader.readTree("f", SettingsWriter.yaml(tree)).orElseThrow())
          .isEqualTo(tree);
      assertThat(SettingsReader.readTree("f", SettingsWriter.json(tree).toString()).orElseThrow())
          .isEqualTo(tree);
    }
  }
}

package org.pollenrock.bench.drive;

import java.util.List;
import org.pollenrock.bench.workload.Prompt;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;
import org.pollenrock.standin.engine.GeneratedText;

/** Knows the one right text of each request for each weights version. */
final class ExpectedText {
  private final List<String> versions;

  ExpectedText(List<String> versions) {
    this.versions = List.copyOf(versions);
  }

  /**
   * Compares an answer with the right texts.
   *
   * @return empty when it is one of them, otherwise where it leaves the closest one, as a code
   */
  String difference(TimedRequest request, String text) {
    String prompt = promptText(request);
    int words = request.kind().maxTokens();
    List<String> actual = List.of(text.strip().split(" "));
    int alike = 0;
    for (String version : versions) {
      String right = GeneratedText.whole(prompt, version, words);
      if (right.equals(text)) {
        return "";
      }
      alike = Math.max(alike, commonWords(List.of(right.strip().split(" ")), actual));
    }
    return "differs_after_word_%d_of_%d_has_%d".formatted(alike, words, actual.size());
  }

  private static int commonWords(List<String> right, List<String> actual) {
    int count = 0;
    while (count < Math.min(right.size(), actual.size())
        && right.get(count).equals(actual.get(count))) {
      count++;
    }
    return count;
  }

  private static String promptText(TimedRequest request) {
    Prompt prompt = request.prompt();
    if (request.kind().shape() == TrafficKind.Shape.SHORT_MODEL) {
      return prompt.user();
    }
    return "system\n" + prompt.system() + "\nuser\n" + prompt.user() + "\nassistant\n";
  }
}

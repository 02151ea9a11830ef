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

  boolean matches(TimedRequest request, String text) {
    String prompt = promptText(request);
    int words = request.kind().maxTokens();
    return versions.stream()
        .anyMatch(version -> GeneratedText.whole(prompt, version, words).equals(text));
  }

  private static String promptText(TimedRequest request) {
    Prompt prompt = request.prompt();
    if (request.kind().shape() == TrafficKind.Shape.SHORT_MODEL) {
      return prompt.user();
    }
    return "system\n" + prompt.system() + "\nuser\n" + prompt.user() + "\nassistant\n";
  }
}

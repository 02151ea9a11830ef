package org.pollenrock.soak;

import java.util.List;
import org.pollenrock.bench.history.Violation;

/**
 * What one seed showed.
 *
 * @param seed the seed
 * @param violations promises that were broken
 * @param completed requests with the whole right answer
 * @param refused requests that were told that they did not run
 * @param unknown requests whose outcome the caller does not know
 * @param story faults in the order in which they began
 */
record SoakReport(
    long seed,
    List<Violation> violations,
    int completed,
    int refused,
    int unknown,
    List<String> story) {
  /** One line, and the violations with the story if there are any. */
  String text() {
    StringBuilder text =
        new StringBuilder(
            "seed %d: %d right, %d refused, %d unknown, %d violations%n"
                .formatted(seed, completed, refused, unknown, violations.size()));
    if (!violations.isEmpty()) {
      violations.forEach(violation -> text.append("  ").append(violation).append('\n'));
      story.forEach(line -> text.append("  ").append(line).append('\n'));
    }
    return text.toString();
  }
}

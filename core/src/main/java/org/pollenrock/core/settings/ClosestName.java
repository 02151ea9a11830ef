package org.pollenrock.core.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the valid name that is closest to a misspelt one, by edit distance. */
public final class ClosestName {
  private static final int MAX_LENGTH = 64;

  /** Names beyond it are not considered, so that many wrong names cost a bounded time. */
  private static final int MAX_CANDIDATES = 500;

  private ClosestName() {}

  /**
   * Finds the closest name.
   *
   * @param misspelt the name that is not valid
   * @param valid the valid names
   * @return the closest one, or empty when none differs in at most half of its letters
   */
  public static Optional<String> find(String misspelt, Collection<String> valid) {
    if (misspelt.length() > MAX_LENGTH) {
      return Optional.empty();
    }
    return valid.stream()
        .limit(MAX_CANDIDATES)
        .filter(name -> name.length() <= MAX_LENGTH)
        .filter(name -> distance(misspelt, name) <= Math.max(2, name.length() / 2))
        .min(
            Comparator.comparingInt((String name) -> distance(misspelt, name))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static int distance(String left, String right) {
    int[] previous = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      int[] current = new int[right.length() + 1];
      current[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        int replaced = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(replaced, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[right.length()];
  }
}

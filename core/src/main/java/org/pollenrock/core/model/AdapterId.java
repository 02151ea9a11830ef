package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a model adapter (LoRA).
 *
 * @param value the name, not blank
 */
public record AdapterId(String value) implements Comparable<AdapterId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public AdapterId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("AdapterId must not be blank");
    }
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a model served by engines.
 *
 * @param value the name, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public ModelId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("ModelId must not be blank");
    }
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a model that engines serve.
 *
 * @param value the name, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException when the name is blank
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

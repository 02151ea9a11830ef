package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of the weights version that an engine serves for a model.
 *
 * @param value the name, not blank
 */
public record WeightsVersion(String value) implements Comparable<WeightsVersion> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public WeightsVersion {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("WeightsVersion must not be blank");
    }
  }

  @Override
  public int compareTo(WeightsVersion other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

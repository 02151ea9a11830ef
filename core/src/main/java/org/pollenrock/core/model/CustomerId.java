package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a customer, as spelled in the settings tree.
 *
 * @param value the name, not blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public CustomerId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("CustomerId must not be blank");
    }
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

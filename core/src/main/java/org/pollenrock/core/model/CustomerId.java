package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a customer, as the settings tree spells it.
 *
 * @param value the name, not blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException when the name is blank
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

package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a caller within a customer.
 *
 * @param value the name, not blank
 */
public record CallerId(String value) implements Comparable<CallerId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public CallerId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("CallerId must not be blank");
    }
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

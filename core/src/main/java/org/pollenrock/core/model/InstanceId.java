package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a router instance.
 *
 * @param value the name, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public InstanceId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("InstanceId must not be blank");
    }
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

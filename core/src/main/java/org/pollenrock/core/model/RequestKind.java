package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a kind of request, as spelled in the settings tree.
 *
 * @param value the name, not blank
 */
public record RequestKind(String value) implements Comparable<RequestKind> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public RequestKind {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("RequestKind must not be blank");
    }
  }

  @Override
  public int compareTo(RequestKind other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

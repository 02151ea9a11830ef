package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a backend server: a model engine or a plain server.
 *
 * @param value the name, not blank
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public BackendServerId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("BackendServerId must not be blank");
    }
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

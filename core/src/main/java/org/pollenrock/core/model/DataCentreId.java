package org.pollenrock.core.model;

import java.util.Objects;

/**
 * Name of a data centre.
 *
 * @param value the name, not blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /**
   * Checks that the name is neither null nor blank.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public DataCentreId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("DataCentreId must not be blank");
    }
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.pollenrock.core.model;

/**
 * Identifies one start of a process. A process that restarts under the same name has a larger
 * value.
 *
 * @param value number that the process chose at its start
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  /**
   * Returns whether this incarnation started after another one.
   *
   * @param other incarnation to compare with
   * @return true if this incarnation is later
   */
  public boolean isAfter(Incarnation other) {
    return value > other.value;
  }
}

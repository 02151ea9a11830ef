package org.pollenrock.core.model;

/**
 * One life of a process: a larger value is a later start under the same name.
 *
 * @param value the number that the process drew at its start
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  /**
   * Tells whether this life began after another one.
   *
   * @param other the incarnation to compare with
   * @return true when this one is later
   */
  public boolean isAfter(Incarnation other) {
    return value > other.value;
  }
}

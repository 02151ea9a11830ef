package org.pollenrock.core.lease;

/**
 * Number that grows with every grant and renewal of a lease; a receiver refuses smaller ones.
 *
 * @param value the log offset of the granted record
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}

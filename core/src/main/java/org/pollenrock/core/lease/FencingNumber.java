package org.pollenrock.core.lease;

/**
 * Fencing number of a lease. It increases with every grant and renewal; a receiver of orders
 * rejects a number that is smaller than one it has already seen.
 *
 * @param value the log offset of the record that was granted
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}

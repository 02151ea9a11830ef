package org.pollenrock.core.model;

import java.nio.ByteBuffer;
import java.util.HexFormat;

/**
 * Key of one block in the prefix cache: the first 128 bits of a SHA-256 digest.
 *
 * @param high the first 64 bits of the digest
 * @param low the next 64 bits of the digest
 */
public record BlockKey(long high, long low) implements Comparable<BlockKey> {
  /** Length of a key in bytes. */
  public static final int BYTES = 16;

  /**
   * Creates a key from the first 16 bytes of a digest.
   *
   * @param digest digest of at least 16 bytes
   * @return the key
   */
  public static BlockKey of(byte[] digest) {
    ByteBuffer buffer = ByteBuffer.wrap(digest);
    return new BlockKey(buffer.getLong(), buffer.getLong());
  }

  /**
   * Encodes the key as 16 bytes in big-endian order.
   *
   * @return a new array
   */
  public byte[] toBytes() {
    return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
  }

  @Override
  public int compareTo(BlockKey other) {
    int order = Long.compareUnsigned(high, other.high);
    return order != 0 ? order : Long.compareUnsigned(low, other.low);
  }

  @Override
  public String toString() {
    return HexFormat.of().formatHex(toBytes());
  }
}

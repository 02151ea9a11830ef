package org.pollenrock.core.settings;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;
import org.pollenrock.core.digest.Sha256;

/**
 * SHA-256 of an API key; the key itself is nowhere in the settings.
 *
 * @param a first 64 bits
 * @param b next 64 bits
 * @param c next 64 bits
 * @param d last 64 bits
 */
public record ApiKeyHash(long a, long b, long c, long d) implements Comparable<ApiKeyHash> {
  /** Length in bytes. */
  public static final int BYTES = 32;

  /**
   * Hashes a key that a caller presents.
   *
   * @param apiKey the key
   * @return its hash
   */
  public static ApiKeyHash ofKey(String apiKey) {
    return ofBytes(Sha256.newDigest().digest(apiKey.getBytes(StandardCharsets.UTF_8)));
  }

  private static ApiKeyHash ofBytes(byte[] digest) {
    ByteBuffer buffer = ByteBuffer.wrap(digest);
    return new ApiKeyHash(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
  }

  /**
   * Reads 64 hexadecimal digits.
   *
   * @param text the digits
   * @return the hash, or empty when the text is something else
   */
  public static Optional<ApiKeyHash> parse(String text) {
    if (text.length() != 2 * BYTES || !text.chars().allMatch(ApiKeyHash::isLowerHex)) {
      return Optional.empty();
    }
    return Optional.of(ofBytes(HexFormat.of().parseHex(text)));
  }

  private static boolean isLowerHex(int c) {
    return c >= '0' && c <= '9' || c >= 'a' && c <= 'f';
  }

  /**
   * The hash as bytes.
   *
   * @return 32 new bytes
   */
  public byte[] toBytes() {
    return ByteBuffer.allocate(BYTES).putLong(a).putLong(b).putLong(c).putLong(d).array();
  }

  /**
   * Compares in a time that does not depend on the position of the first difference.
   *
   * @param other the hash to compare with
   * @return true when both are equal
   */
  public boolean matches(ApiKeyHash other) {
    return MessageDigest.isEqual(toBytes(), other.toBytes());
  }

  @Override
  public int compareTo(ApiKeyHash other) {
    int order = Long.compareUnsigned(a, other.a);
    order = order != 0 ? order : Long.compareUnsigned(b, other.b);
    order = order != 0 ? order : Long.compareUnsigned(c, other.c);
    return order != 0 ? order : Long.compareUnsigned(d, other.d);
  }

  @Override
  public String toString() {
    return HexFormat.of().formatHex(toBytes());
  }
}

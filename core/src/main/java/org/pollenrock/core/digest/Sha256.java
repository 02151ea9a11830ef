package org.pollenrock.core.digest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Access to SHA-256, which every Java platform provides. */
public final class Sha256 {
  private Sha256() {}

  /**
   * Creates a digest.
   *
   * @return a new digest
   */
  public static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Adds the UTF-8 of a text with its length, so that no two sequences of texts add the same bytes.
   *
   * @param digest the digest
   * @param text the text
   */
  public static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
    digest.update(bytes);
  }
}

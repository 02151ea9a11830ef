package org.pollenrock.core.settings;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Access to SHA-256, which every Java platform provides. */
final class Sha256 {
  private Sha256() {}

  static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}

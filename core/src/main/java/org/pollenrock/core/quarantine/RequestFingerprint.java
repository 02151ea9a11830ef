package org.pollenrock.core.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.pollenrock.core.digest.Sha256;

/**
 * Identifies what a request asks for: its target, customer and body. It is the same for all
 * attempts of a caller and at all instances, unlike the id of a request.
 *
 * <p>The hash is computed when it is first asked for, since few requests need it. The customer is
 * part of it, so that no customer can construct a request with the hash of another one's.
 */
public final class RequestFingerprint {
  private final String customer;
  private final String target;
  private final Supplier<ByteBuffer> body;
  private OptionalLong hash = OptionalLong.empty();

  /**
   * Creates the fingerprint of a request.
   *
   * @param customer name of the customer; empty if the request has none
   * @param target path and query of the request
   * @param body returns the body; called at most once, by the first call of {@link #hash}
   */
  public RequestFingerprint(String customer, String target, Supplier<ByteBuffer> body) {
    this.customer = customer;
    this.target = target;
    this.body = body;
  }

  /**
   * Returns the hash of the request, the first 64 bits of a SHA-256 digest.
   *
   * @return the hash
   */
  public long hash() {
    if (hash.isEmpty()) {
      hash = OptionalLong.of(digest());
    }
    return hash.getAsLong();
  }

  private long digest() {
    MessageDigest digest = Sha256.newDigest();
    Sha256.update(digest, customer);
    Sha256.update(digest, target);
    digest.update(body.get());
    return ByteBuffer.wrap(digest.digest()).getLong();
  }
}

package org.pollenrock.core.claim;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import org.pollenrock.core.digest.Sha256;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.record.RecordReader;
import org.pollenrock.core.record.RecordWriter;

/**
 * SHA-256 digest. It is stored as four numbers instead of an array because there are many claims
 * and each array would add an object header.
 *
 * @param first bits 0 to 63
 * @param second bits 64 to 127
 * @param third bits 128 to 191
 * @param fourth bits 192 to 255
 */
public record Digest256(long first, long second, long third, long fourth) {
  /**
   * Returns the digest of a request body.
   *
   * @param body bytes of the request body
   * @return the SHA-256 digest of the bytes
   */
  public static Digest256 of(byte[] body) {
    return finish(Sha256.newDigest(), body);
  }

  /**
   * Returns the digest of an idempotency key within its customer and service, so that equal keys of
   * different customers or services differ.
   *
   * @param customer id of the customer
   * @param service name of the plain service
   * @param key the idempotency key
   * @return SHA-256 digest of the three parts, each preceded by its length
   */
  public static Digest256 ofKey(CustomerId customer, String service, IdempotencyKey key) {
    MessageDigest digest = Sha256.newDigest();
    Sha256.update(digest, customer.value());
    Sha256.update(digest, service);
    Sha256.update(digest, key.value());
    return finish(digest, new byte[0]);
  }

  static Digest256 read(RecordReader reader) {
    return new Digest256(
        reader.readLong(), reader.readLong(), reader.readLong(), reader.readLong());
  }

  void write(RecordWriter writer) {
    writer.writeLong(first).writeLong(second).writeLong(third).writeLong(fourth);
  }

  private static Digest256 finish(MessageDigest digest, byte[] last) {
    ByteBuffer buffer = ByteBuffer.wrap(digest.digest(last));
    return new Digest256(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
  }
}

package org.pollenrock.adapters.http;

import java.io.ByteArrayOutputStream;

/**
 * Body of one answer while it is collected, within its own bound and that of an account.
 *
 * <p>An exchange may be cancelled on another thread while a part arrives.
 */
public final class AnswerBuffer {
  private final HeldBytes held;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean closed;

  /**
   * Creates an empty buffer.
   *
   * @param held account of all answers
   */
  public AnswerBuffer(HeldBytes held) {
    this.held = held;
  }

  /**
   * Adds a part.
   *
   * @param part the bytes
   * @param maxBytes bound of the whole body
   * @return why the part was not added, empty when it was
   */
  public synchronized String append(byte[] part, int maxBytes) {
    if (closed) {
      return "the exchange has ended";
    }
    if (bytes.size() + (long) part.length > maxBytes) {
      return "body exceeds " + maxBytes + " bytes";
    }
    if (!held.reserve(part.length)) {
      return "too many bytes of answers are held";
    }
    bytes.writeBytes(part);
    return "";
  }

  /**
   * Ends the collection and returns its bytes to the account.
   *
   * @return the body, empty when it was taken before
   */
  public synchronized byte[] take() {
    byte[] body = bytes.toByteArray();
    held.release(bytes.size());
    bytes.reset();
    closed = true;
    return body;
  }
}

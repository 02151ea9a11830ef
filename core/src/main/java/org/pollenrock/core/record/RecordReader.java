package org.pollenrock.core.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of one frame's payload.
 *
 * <p>Methods throw {@link MalformedRecordException} when the payload ends early or a length is out
 * of range.
 */
public final class RecordReader {
  private final ByteBuffer payload;

  /**
   * Creates a reader.
   *
   * @param payload the payload of one frame
   */
  public RecordReader(byte[] payload) {
    this.payload = ByteBuffer.wrap(payload);
  }

  /**
   * Reads one byte.
   *
   * @return 0 to 255
   */
  public int readByte() {
    requireRemaining(Byte.BYTES);
    return payload.get() & 0xff;
  }

  /**
   * Reads four bytes, big-endian.
   *
   * @return the number
   */
  public int readInt() {
    requireRemaining(Integer.BYTES);
    return payload.getInt();
  }

  /**
   * Reads eight bytes, big-endian.
   *
   * @return the number
   */
  public long readLong() {
    requireRemaining(Long.BYTES);
    return payload.getLong();
  }

  /**
   * Reads a length and that many bytes.
   *
   * @param maximum greatest length that is accepted
   * @return the bytes
   */
  public byte[] readBytes(int maximum) {
    int length = readInt();
    if (length < 0 || length > maximum) {
      throw new MalformedRecordException("length " + length + " is out of range");
    }
    requireRemaining(length);
    byte[] value = new byte[length];
    payload.get(value);
    return value;
  }

  /**
   * Reads a text.
   *
   * @return the text
   */
  public String readText() {
    return new String(readBytes(RecordWriter.MAX_TEXT_BYTES), StandardCharsets.UTF_8);
  }

  private void requireRemaining(int bytes) {
    if (payload.remaining() < bytes) {
      throw new MalformedRecordException("payload ends early");
    }
  }
}

package org.pollenrock.core.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a record from the payload of a frame.
 *
 * <p>The methods throw {@link MalformedRecordException} when the payload ends early or a length is
 * out of range.
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
   * Reads an unsigned byte.
   *
   * @return the value, 0 to 255
   */
  public int readByte() {
    requireRemaining(Byte.BYTES);
    return payload.get() & 0xff;
  }

  /**
   * Reads a 4-byte integer, big-endian.
   *
   * @return the number
   */
  public int readInt() {
    requireRemaining(Integer.BYTES);
    return payload.getInt();
  }

  /**
   * Reads an 8-byte integer, big-endian.
   *
   * @return the number
   */
  public long readLong() {
    requireRemaining(Long.BYTES);
    return payload.getLong();
  }

  /**
   * Reads a byte array, which is preceded by its length in 4 bytes.
   *
   * @param maximum largest accepted length in bytes
   * @return the bytes
   */
  public byte[] readBytes(int maximum) {
    int length = readInt();
    if (length < 0 || length > maximum) {
      throw new MalformedRecordException("field length " + length + " is out of range");
    }
    requireRemaining(length);
    byte[] value = new byte[length];
    payload.get(value);
    return value;
  }

  /**
   * Reads a UTF-8 text of at most {@link RecordWriter#MAX_TEXT_BYTES} bytes, which is preceded by
   * its length in bytes.
   *
   * @return the text
   */
  public String readText() {
    return new String(readBytes(RecordWriter.MAX_TEXT_BYTES), StandardCharsets.UTF_8);
  }

  private void requireRemaining(int bytes) {
    if (payload.remaining() < bytes) {
      throw new MalformedRecordException("payload ends before the end of a field");
    }
  }
}

package org.pollenrock.core.record;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Writes the fields of a record and builds a frame with type, length, checksum and payload. */
public final class RecordWriter {
  /** Number of bytes that a frame adds to its payload: type, length and checksum. */
  public static final int FRAME_OVERHEAD_BYTES = 9;

  /** Longest text in bytes. Records contain only short names, so a longer text is a bug. */
  public static final int MAX_TEXT_BYTES = 1024;

  private final ByteArrayOutputStream payload = new ByteArrayOutputStream(96);

  /**
   * Appends one byte.
   *
   * @param value the value; only its low eight bits are written
   * @return this writer
   */
  public RecordWriter writeByte(int value) {
    payload.write(value);
    return this;
  }

  /**
   * Appends a 4-byte integer, big-endian.
   *
   * @param value the number
   * @return this writer
   */
  public RecordWriter writeInt(int value) {
    payload.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    return this;
  }

  /**
   * Appends an 8-byte integer, big-endian.
   *
   * @param value the number
   * @return this writer
   */
  public RecordWriter writeLong(long value) {
    payload.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    return this;
  }

  /**
   * Appends a byte array, preceded by its length in 4 bytes.
   *
   * @param value the bytes
   * @return this writer
   */
  public RecordWriter writeBytes(byte[] value) {
    writeInt(value.length);
    payload.writeBytes(value);
    return this;
  }

  /**
   * Appends a text in UTF-8, preceded by its length in bytes.
   *
   * @param value the text
   * @return this writer
   * @throws IllegalArgumentException when the text is longer than {@link #MAX_TEXT_BYTES}
   */
  public RecordWriter writeText(String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_TEXT_BYTES) {
      throw new IllegalArgumentException("text of " + bytes.length + " bytes is too long");
    }
    return writeBytes(bytes);
  }

  /**
   * Returns the frame with all fields that were appended.
   *
   * @param type type of the record, 0 to 255
   * @return the bytes of the frame
   */
  public byte[] toFrame(int type) {
    byte[] body = payload.toByteArray();
    return ByteBuffer.allocate(FRAME_OVERHEAD_BYTES + body.length)
        .put((byte) type)
        .putInt(body.length)
        .putInt(checksum(type, body))
        .put(body)
        .array();
  }

  /** Returns the CRC-32 of the type and the payload. */
  static int checksum(int type, byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(type);
    crc.update(body);
    return (int) crc.getValue();
  }
}

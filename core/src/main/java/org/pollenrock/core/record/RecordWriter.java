package org.pollenrock.core.record;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Writes the payload of one frame and wraps it with type, length and checksum. */
public final class RecordWriter {
  /** Bytes that a frame adds to its payload. */
  public static final int FRAME_OVERHEAD_BYTES = 9;

  /** Longest text in bytes; names are short, so a longer one is a programming error. */
  public static final int MAX_TEXT_BYTES = 1024;

  private final ByteArrayOutputStream payload = new ByteArrayOutputStream(96);

  /**
   * Adds one byte.
   *
   * @param value the low eight bits count
   * @return this writer
   */
  public RecordWriter writeByte(int value) {
    payload.write(value);
    return this;
  }

  /**
   * Adds four bytes, big-endian.
   *
   * @param value the number
   * @return this writer
   */
  public RecordWriter writeInt(int value) {
    payload.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    return this;
  }

  /**
   * Adds eight bytes, big-endian.
   *
   * @param value the number
   * @return this writer
   */
  public RecordWriter writeLong(long value) {
    payload.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    return this;
  }

  /**
   * Adds a length and that many bytes.
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
   * Adds a text as UTF-8 with its length.
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
   * Builds the frame around the payload.
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

  static int checksum(int type, byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(type);
    crc.update(body);
    return (int) crc.getValue();
  }
}

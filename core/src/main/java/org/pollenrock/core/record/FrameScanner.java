package org.pollenrock.core.record;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Splits the data of a log entry into frames and counts the corrupt frames that are skipped. */
public final class FrameScanner {
  /** Longest payload in bytes. A greater length means that the length field is corrupt. */
  public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

  private long corruptFrames;

  /**
   * Frame with a correct checksum.
   *
   * @param type type of the record, 0 to 255
   * @param payload payload of the record
   */
  public record Frame(int type, byte[] payload) {}

  /**
   * Returns the intact frames of a log entry. A frame with a wrong checksum is skipped. After an
   * invalid length the rest of the entry is skipped, because the start of the next frame is
   * unknown.
   *
   * @param data the bytes of the entry
   * @return the intact frames in order
   */
  public List<Frame> scan(byte[] data) {
    List<Frame> frames = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(data);
    while (buffer.hasRemaining()) {
      if (buffer.remaining() < RecordWriter.FRAME_OVERHEAD_BYTES) {
        corruptFrames++;
        return frames;
      }
      int type = buffer.get() & 0xff;
      int length = buffer.getInt();
      final int checksum = buffer.getInt();
      if (length < 0 || length > MAX_PAYLOAD_BYTES || length > buffer.remaining()) {
        corruptFrames++;
        return frames;
      }
      byte[] payload = new byte[length];
      buffer.get(payload);
      if (RecordWriter.checksum(type, payload) != checksum) {
        corruptFrames++;
        continue;
      }
      frames.add(new Frame(type, payload));
    }
    return frames;
  }

  /** Counts a frame whose payload could not be decoded. */
  public void countMalformed() {
    corruptFrames++;
  }

  /**
   * Returns the number of corrupt frames and ends of entries that were skipped, and of frames that
   * were counted by {@link #countMalformed}.
   *
   * @return number since the scanner was created
   */
  public long corruptFrames() {
    return corruptFrames;
  }
}

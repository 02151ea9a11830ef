package org.pollenrock.core.record;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Splits the data of a log entry into frames and counts what it had to skip. */
public final class FrameScanner {
  /** Longest payload; a greater length means that the length field itself is corrupt. */
  public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

  private long corruptFrames;

  /**
   * One frame whose checksum is right.
   *
   * @param type type of the record
   * @param payload its payload
   */
  public record Frame(int type, byte[] payload) {}

  /**
   * Splits an entry. A frame with a wrong checksum is skipped; after an impossible length the rest
   * of the entry is skipped, because no later frame boundary is known.
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
   * Frames or entry tails that were skipped as corrupt.
   *
   * @return a count since the start
   */
  public long corruptFrames() {
    return corruptFrames;
  }
}

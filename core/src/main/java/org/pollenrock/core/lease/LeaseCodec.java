package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.FrameScanner;
import org.pollenrock.core.record.MalformedRecordException;
import org.pollenrock.core.record.RecordReader;
import org.pollenrock.core.record.RecordWriter;

/** Encoding of lease records; each frame carries the version of the format. */
public final class LeaseCodec {
  /** Version of the format; frames of a later version are skipped. */
  public static final int VERSION = 1;

  private static final int TYPE_ACQUIRE = 32;
  private static final int TYPE_RELEASE = 33;

  private final FrameScanner scanner = new FrameScanner();
  private long unknownTypes;

  /**
   * Encodes a record.
   *
   * @param leaseRecord the record
   * @return the bytes to append
   */
  public static byte[] encode(LeaseRecord leaseRecord) {
    RecordWriter writer =
        new RecordWriter()
            .writeByte(VERSION)
            .writeText(leaseRecord.group())
            .writeText(leaseRecord.owner().router().value())
            .writeLong(leaseRecord.owner().incarnation().value());
    return switch (leaseRecord) {
      case LeaseRecord.Acquire acquire ->
          writer
              .writeLong(acquire.requestId())
              .writeLong(acquire.durationMillis())
              .toFrame(TYPE_ACQUIRE);
      case LeaseRecord.Release release -> writer.toFrame(TYPE_RELEASE);
    };
  }

  /**
   * Decodes an entry; what cannot be decoded is skipped and counted.
   *
   * @param data the data of one log entry
   * @return the records that could be decoded, in order
   */
  public List<LeaseRecord> decode(byte[] data) {
    List<LeaseRecord> records = new ArrayList<>();
    for (FrameScanner.Frame frame : scanner.scan(data)) {
      if (frame.type() != TYPE_ACQUIRE && frame.type() != TYPE_RELEASE) {
        unknownTypes++;
        continue;
      }
      try {
        records.add(decode(frame.type(), new RecordReader(frame.payload())));
      } catch (MalformedRecordException | IllegalArgumentException e) {
        scanner.countMalformed();
      }
    }
    return records;
  }

  /**
   * Frames that were skipped as corrupt.
   *
   * @return a count since the start
   */
  public long corruptFrames() {
    return scanner.corruptFrames();
  }

  /**
   * Intact frames that were skipped because their type is not known.
   *
   * @return a count since the start
   */
  public long unknownTypes() {
    return unknownTypes;
  }

  private static LeaseRecord decode(int type, RecordReader reader) {
    int version = reader.readByte();
    if (version != VERSION) {
      throw new MalformedRecordException("version " + version + " is not supported");
    }
    String group = reader.readText();
    InstanceId router = new InstanceId(reader.readText());
    LeaseOwner owner = new LeaseOwner(router, new Incarnation(reader.readLong()));
    if (type == TYPE_RELEASE) {
      return new LeaseRecord.Release(group, owner);
    }
    return new LeaseRecord.Acquire(group, owner, reader.readLong(), reader.readLong());
  }
}

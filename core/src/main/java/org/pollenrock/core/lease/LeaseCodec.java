package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.FrameScanner;
import org.pollenrock.core.record.MalformedRecordException;
import org.pollenrock.core.record.RecordReader;
import org.pollenrock.core.record.RecordWriter;

/** Encodes and decodes lease records. Each frame contains the version of the format. */
public final class LeaseCodec {
  /** Version of the format. Frames of any other version are skipped and counted as corrupt. */
  public static final int VERSION = 1;

  private static final int TYPE_ACQUIRE = 32;
  private static final int TYPE_RELEASE = 33;

  private final FrameScanner scanner = new FrameScanner();
  private long unknownTypes;

  /**
   * Encodes a lease record as one frame.
   *
   * @param leaseRecord the record
   * @return the bytes to append to the lease stream
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
   * Decodes all frames of a log entry. Corrupt frames and frames of unknown type are skipped and
   * counted.
   *
   * @param data the data of one log entry
   * @return the decoded records in the order of the frames
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
   * Returns the number of frames that were skipped because they are corrupt or malformed.
   *
   * @return the count since this codec was created
   */
  public long corruptFrames() {
    return scanner.corruptFrames();
  }

  /**
   * Returns the number of intact frames that were skipped because their type is unknown.
   *
   * @return the count since this codec was created
   */
  public long unknownTypes() {
    return unknownTypes;
  }

  private static LeaseRecord decode(int type, RecordReader reader) {
    int version = reader.readByte();
    if (version != VERSION) {
      throw new MalformedRecordException("lease record version " + version + " is not supported");
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

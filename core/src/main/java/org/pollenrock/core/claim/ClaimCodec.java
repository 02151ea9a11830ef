package org.pollenrock.core.claim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.FrameScanner;
import org.pollenrock.core.record.MalformedRecordException;
import org.pollenrock.core.record.RecordReader;
import org.pollenrock.core.record.RecordWriter;

/**
 * Encodes claim records for the log and decodes them.
 *
 * <p>A batch starts with a header frame that names the writing router and its incarnation once; the
 * records of the batch carry only the counter of the claim. A batch without a readable header is
 * skipped as a whole.
 */
public final class ClaimCodec {
  /** Version of the format, written in the header frame; batches of other versions are skipped. */
  public static final int VERSION = 1;

  private static final int TYPE_HEADER = 0;
  private static final int TYPE_CLAIMED = 1;
  private static final int TYPE_RELEASED = 2;
  private static final int TYPE_COMPLETED = 3;
  private static final int TYPE_OUTCOME_UNKNOWN = 4;
  private static final int TYPE_TIME_MARK = 5;

  private final FrameScanner scanner = new FrameScanner();
  private long unknownTypes;

  /** Writer of a batch, as its header names it. */
  private record Writer(InstanceId router, Incarnation incarnation) {}

  /**
   * Encodes the header frame of the batches of one writer.
   *
   * @param router id of the writing router
   * @param incarnation incarnation of that router
   * @return one frame
   */
  public static byte[] encodeHeader(InstanceId router, Incarnation incarnation) {
    return new RecordWriter()
        .writeByte(VERSION)
        .writeText(router.value())
        .writeLong(incarnation.value())
        .toFrame(TYPE_HEADER);
  }

  /**
   * Encodes one record for a batch whose header names the router and incarnation of the claim.
   *
   * @param claimRecord the record
   * @return one frame
   */
  public static byte[] encode(ClaimRecord claimRecord) {
    RecordWriter writer = new RecordWriter().writeLong(claimRecord.claim().counter());
    return switch (claimRecord) {
      case ClaimRecord.Claimed claimed -> {
        claimed.key().write(writer);
        claimed.bodyDigest().write(writer);
        yield writer.writeLong(claimed.keyTimeMillis()).toFrame(TYPE_CLAIMED);
      }
      case ClaimRecord.Released released -> {
        released.key().write(writer);
        yield writer.toFrame(TYPE_RELEASED);
      }
      case ClaimRecord.Completed completed -> {
        completed.key().write(writer);
        CallOutcome outcome = completed.outcome().withinRecordLimits();
        yield writer
            .writeInt(outcome.status())
            .writeByte(outcome.bodyKept() ? 1 : 0)
            .writeText(outcome.contentType())
            .writeBytes(outcome.body())
            .toFrame(TYPE_COMPLETED);
      }
      case ClaimRecord.OutcomeUnknown outcomeUnknown -> {
        outcomeUnknown.key().write(writer);
        yield writer.toFrame(TYPE_OUTCOME_UNKNOWN);
      }
      case ClaimRecord.TimeMark timeMark -> writer.toFrame(TYPE_TIME_MARK);
    };
  }

  /**
   * Encodes a batch: the header and the records.
   *
   * @param router id of the writing router
   * @param incarnation incarnation of that router
   * @param records records of this router and incarnation
   * @return the bytes to append
   */
  public static byte[] encodeBatch(
      InstanceId router, Incarnation incarnation, List<ClaimRecord> records) {
    ByteArrayOutputStream batch = new ByteArrayOutputStream();
    batch.writeBytes(encodeHeader(router, incarnation));
    records.forEach(claimRecord -> batch.writeBytes(encode(claimRecord)));
    return batch.toByteArray();
  }

  /**
   * Decodes a batch. Frames that cannot be decoded are skipped and counted.
   *
   * @param data data of one log entry
   * @return the decoded records, in the order of the batch
   */
  public List<ClaimRecord> decode(byte[] data) {
    List<ClaimRecord> records = new ArrayList<>();
    Writer writer = null;
    for (FrameScanner.Frame frame : scanner.scan(data)) {
      try {
        RecordReader reader = new RecordReader(frame.payload());
        if (frame.type() == TYPE_HEADER) {
          writer = decodeHeader(reader);
        } else if (writer != null) {
          ClaimId claim = new ClaimId(writer.router(), writer.incarnation(), reader.readLong());
          decode(frame.type(), claim, reader, records);
        } else {
          scanner.countMalformed();
        }
      } catch (MalformedRecordException | IllegalArgumentException e) {
        scanner.countMalformed();
      }
    }
    return records;
  }

  /**
   * Returns the number of frames that were skipped as corrupt.
   *
   * @return a count since the creation of the codec
   */
  public long corruptFrames() {
    return scanner.corruptFrames();
  }

  /**
   * Returns the number of intact frames that were skipped because their type is not known.
   *
   * @return a count since the creation of the codec
   */
  public long unknownTypes() {
    return unknownTypes;
  }

  private static Writer decodeHeader(RecordReader reader) {
    int version = reader.readByte();
    if (version != VERSION) {
      throw new MalformedRecordException("claim record version " + version + " is not supported");
    }
    return new Writer(new InstanceId(reader.readText()), new Incarnation(reader.readLong()));
  }

  private void decode(int type, ClaimId claim, RecordReader reader, List<ClaimRecord> records) {
    ClaimRecord claimRecord =
        switch (type) {
          case TYPE_CLAIMED ->
              new ClaimRecord.Claimed(
                  claim, Digest256.read(reader), Digest256.read(reader), reader.readLong());
          case TYPE_RELEASED -> new ClaimRecord.Released(claim, Digest256.read(reader));
          case TYPE_COMPLETED ->
              new ClaimRecord.Completed(claim, Digest256.read(reader), decodeOutcome(reader));
          case TYPE_OUTCOME_UNKNOWN ->
              new ClaimRecord.OutcomeUnknown(claim, Digest256.read(reader));
          case TYPE_TIME_MARK -> new ClaimRecord.TimeMark(claim);
          default -> null;
        };
    if (Objects.isNull(claimRecord)) {
      unknownTypes++;
      return;
    }
    records.add(claimRecord);
  }

  private static CallOutcome decodeOutcome(RecordReader reader) {
    int status = reader.readInt();
    final boolean bodyKept = reader.readByte() == 1;
    String contentType = reader.readText();
    byte[] body = reader.readBytes(CallOutcome.MAX_BODY_BYTES);
    return new CallOutcome(status, contentType, body, bodyKept);
  }
}

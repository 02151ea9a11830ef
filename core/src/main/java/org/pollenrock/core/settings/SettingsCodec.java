package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.zip.CRC32C;

/**
 * Bytes of the records of the settings stream.
 *
 * <p>Format: the letters {@code PS}, a version, a kind, the body, and a CRC-32C of all before it.
 */
public final class SettingsCodec {
  /** Greatest size of a record in bytes; a frame between routers holds one with its header. */
  public static final int MAX_RECORD_BYTES = 900 * 1024;

  /** Version of the format that this release writes and reads. */
  public static final int VERSION = 1;

  private static final int MAGIC_FIRST = 'P';
  private static final int MAGIC_SECOND = 'S';
  private static final int HEADER_BYTES = 4;
  private static final int CHECKSUM_BYTES = 4;
  private static final int KIND_CHANGE = 1;
  private static final int KIND_SNAPSHOT_PART = 2;
  private static final int EDIT_PUT = 1;
  private static final int EDIT_REMOVE = 2;

  private SettingsCodec() {}

  /**
   * Writes a change.
   *
   * @param change the change
   * @return the record's bytes
   * @throws IllegalArgumentException when they exceed {@link #MAX_RECORD_BYTES}
   */
  public static byte[] encode(SettingsChange change) {
    ByteSink sink = begin(KIND_CHANGE);
    sink.putLong(change.id().getMostSignificantBits());
    sink.putLong(change.id().getLeastSignificantBits());
    sink.putText(change.author());
    sink.putLong(change.base());
    sink.putCount(change.edits().size());
    change.edits().forEach(edit -> putEdit(sink, edit));
    return end(sink);
  }

  private static void putEdit(ByteSink sink, SettingsEdit edit) {
    switch (edit) {
      case SettingsEdit.Put(SettingsPath path, SettingsNode value) -> {
        sink.putByte(EDIT_PUT);
        sink.putPath(path);
        sink.putNode(value);
      }
      case SettingsEdit.Remove(SettingsPath path) -> {
        sink.putByte(EDIT_REMOVE);
        sink.putPath(path);
      }
    }
  }

  /**
   * Writes a part of a snapshot.
   *
   * @param part the part
   * @return the record's bytes
   */
  public static byte[] encode(SnapshotPart part) {
    ByteSink sink = begin(KIND_SNAPSHOT_PART);
    sink.putLong(part.next());
    sink.putLong(part.checksum());
    sink.putInt(part.index());
    sink.putInt(part.count());
    sink.putBytes(part.data());
    return end(sink);
  }

  private static ByteSink begin(int kind) {
    ByteSink sink = new ByteSink();
    sink.putByte(MAGIC_FIRST);
    sink.putByte(MAGIC_SECOND);
    sink.putByte(VERSION);
    sink.putByte(kind);
    return sink;
  }

  private static byte[] end(ByteSink sink) {
    sink.putInt(checksum(sink.toBytes(), sink.size()));
    if (sink.size() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "the record has " + sink.size() + " bytes; the limit is " + MAX_RECORD_BYTES);
    }
    return sink.toBytes();
  }

  private static int checksum(byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  /**
   * Reads a record. The result depends on the bytes alone, so that all routers skip the same ones.
   *
   * @param bytes the record's bytes
   * @return what it contains
   */
  public static DecodedRecord decode(byte[] bytes) {
    int bodyEnd = bytes.length - CHECKSUM_BYTES;
    if (bodyEnd < HEADER_BYTES || bytes.length > MAX_RECORD_BYTES) {
      return new DecodedRecord.Corrupt();
    }
    int stored = new ByteSource(bytes, bodyEnd, bytes.length).takeInt();
    if (bytes[0] != MAGIC_FIRST || bytes[1] != MAGIC_SECOND || stored != checksum(bytes, bodyEnd)) {
      return new DecodedRecord.Corrupt();
    }
    if (bytes[2] != VERSION) {
      return new DecodedRecord.Unsupported(bytes[2] & 0xff);
    }
    ByteSource source = new ByteSource(bytes, HEADER_BYTES, bodyEnd);
    return switch (bytes[3]) {
      case KIND_CHANGE -> decodeChange(source);
      case KIND_SNAPSHOT_PART -> decodePart(source);
      default -> new DecodedRecord.Corrupt();
    };
  }

  private static DecodedRecord decodeChange(ByteSource source) {
    UUID id = new UUID(source.takeLong(), source.takeLong());
    String author = source.takeText();
    long base = source.takeLong();
    int count = source.takeCount();
    List<SettingsEdit> edits = new ArrayList<>();
    for (int i = 0; i < count && !source.failed(); i++) {
      edits.add(takeEdit(source));
    }
    boolean inBounds =
        !edits.isEmpty()
            && edits.size() <= SettingsChange.MAX_EDITS
            && author.length() <= SettingsChange.MAX_AUTHOR
            && base >= SettingsHistory.NO_REVISION;
    return source.atEnd() && inBounds
        ? new DecodedRecord.Change(new SettingsChange(id, author, base, edits))
        : new DecodedRecord.Corrupt();
  }

  private static SettingsEdit takeEdit(ByteSource source) {
    int type = source.takeByte();
    SettingsPath path = source.takePath();
    if (type == EDIT_PUT) {
      return new SettingsEdit.Put(path, source.takeNode());
    }
    if (type != EDIT_REMOVE) {
      source.fail();
    }
    return new SettingsEdit.Remove(path);
  }

  private static DecodedRecord decodePart(ByteSource source) {
    long next = source.takeLong();
    long checksum = source.takeLong();
    int index = source.takeInt();
    int count = source.takeInt();
    byte[] data = source.takeRest();
    boolean inBounds =
        next >= 0
            && count >= 1
            && count <= SnapshotPart.MAX_COUNT
            && index >= 0
            && index < count
            && data.length <= SnapshotPart.MAX_BYTES;
    return source.atEnd() && inBounds
        ? new DecodedRecord.Part(new SnapshotPart(next, checksum, index, count, data))
        : new DecodedRecord.Corrupt();
  }
}

package org.pollenrock.core.settings;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.UUID;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.pollenrock.core.digest.Sha256;

/** Bytes of a snapshot: compressed, and split into records of bounded size. */
public final class SnapshotCodec {
  /** Greatest size of an uncompressed snapshot in bytes, against input that expands without end. */
  public static final int MAX_EXPANDED_BYTES = 64 * 1024 * 1024;

  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int ACCEPTED = 0xff;
  private static final long NO_TIME = Long.MIN_VALUE;

  private SnapshotCodec() {}

  /**
   * Writes a snapshot.
   *
   * @param snapshot the snapshot
   * @return its parts in order
   * @throws IllegalArgumentException when it needs more than {@link SnapshotPart#MAX_COUNT} parts
   */
  public static List<SnapshotPart> encode(SettingsSnapshot snapshot) {
    byte[] bytes = compress(body(snapshot));
    long checksum = checksum(bytes);
    int count = Math.max(1, Math.ceilDiv(bytes.length, SnapshotPart.MAX_BYTES));
    List<SnapshotPart> parts = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int from = i * SnapshotPart.MAX_BYTES;
      int to = Math.min(bytes.length, from + SnapshotPart.MAX_BYTES);
      byte[] data = Arrays.copyOfRange(bytes, from, to);
      parts.add(new SnapshotPart(snapshot.next(), checksum, i, count, data));
    }
    return parts;
  }

  private static byte[] body(SettingsSnapshot snapshot) {
    ByteSink sink = new ByteSink();
    sink.putLong(snapshot.next());
    sink.putLong(snapshot.revision());
    sink.putLong(snapshot.horizon());
    sink.putBytes(snapshot.digest().toBytes());
    sink.putCount(snapshot.outcomes().size());
    snapshot.outcomes().forEach(change -> putRemembered(sink, change));
    sink.putCount(snapshot.pathRevisions().size());
    new TreeMap<>(snapshot.pathRevisions())
        .forEach(
            (path, revision) -> {
              sink.putPath(path);
              sink.putLong(revision);
            });
    sink.putLong(snapshot.lastSnapshot().next());
    sink.putLong(snapshot.lastSnapshot().timeMillis().orElse(NO_TIME));
    sink.putLong(snapshot.changesSinceSnapshot());
    sink.putNode(TreeWriter.write(snapshot.tree()));
    return sink.toBytes();
  }

  private static void putRemembered(ByteSink sink, SettingsSnapshot.RememberedChange change) {
    sink.putLong(change.id().getMostSignificantBits());
    sink.putLong(change.id().getLeastSignificantBits());
    sink.putLong(change.outcome().offset());
    switch (change.outcome()) {
      case ChangeOutcome.Accepted accepted -> sink.putByte(ACCEPTED);
      case ChangeOutcome.Refused refused -> {
        sink.putByte(refused.reason().ordinal());
        sink.putText(refused.detail());
      }
    }
  }

  private static byte[] compress(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static long checksum(byte[] compressed) {
    return ByteBuffer.wrap(Sha256.newDigest().digest(compressed)).getLong();
  }

  /**
   * Checks that parts are undamaged without reading them, which costs a hash of their bytes.
   *
   * @param parts the parts in order
   * @return true when their bytes have the checksum that they state
   */
  static boolean intact(List<SnapshotPart> parts) {
    return !parts.isEmpty() && checksum(join(parts)) == parts.getFirst().checksum();
  }

  private static byte[] join(List<SnapshotPart> parts) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    parts.forEach(part -> joined.writeBytes(part.data()));
    return joined.toByteArray();
  }

  /**
   * Reads a snapshot from all its parts.
   *
   * @param parts the parts in order
   * @return the snapshot, or empty when the bytes are corrupt, the tree is not valid or does not
   *     have the digest that the snapshot states
   */
  public static Optional<SettingsSnapshot> decode(List<SnapshotPart> parts) {
    if (!intact(parts)) {
      return Optional.empty();
    }
    byte[] compressed = join(parts);
    return expand(compressed)
        .flatMap(SnapshotCodec::decodeBody)
        .filter(snapshot -> snapshot.next() == parts.getFirst().next());
  }

  private static Optional<byte[]> expand(byte[] compressed) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream expanded = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 || expanded.size() + count > MAX_EXPANDED_BYTES) {
          return Optional.empty();
        }
        expanded.write(buffer, 0, count);
      }
      return Optional.of(expanded.toByteArray());
    } catch (DataFormatException e) {
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }

  private static Optional<SettingsSnapshot> decodeBody(byte[] body) {
    ByteSource source = new ByteSource(body, 0, body.length);
    long next = source.takeLong();
    long revision = source.takeLong();
    long horizon = source.takeLong();
    byte[] digest = source.takeBytes(ApiKeyHash.BYTES);
    List<SettingsSnapshot.RememberedChange> outcomes = new ArrayList<>();
    int remembered = source.takeCount();
    for (int i = 0; i < remembered && !source.failed(); i++) {
      outcomes.add(takeRemembered(source));
    }
    Map<SettingsPath, Long> revisions = new HashMap<>();
    int paths = source.takeCount();
    for (int i = 0; i < paths && !source.failed(); i++) {
      revisions.put(source.takePath(), source.takeLong());
    }
    SnapshotMark mark = takeMark(source);
    long changes = source.takeLong();
    SettingsNode node = source.takeNode();
    boolean ordered = revision >= SettingsHistory.NO_REVISION && revision < next;
    if (!source.atEnd() || !ordered) {
      return Optional.empty();
    }
    ProblemList problems = new ProblemList();
    SettingsTree tree = TreeReader.read(node, problems);
    if (!problems.isEmpty()) {
      return Optional.empty();
    }
    StateDigest computed = StateDigest.of(tree);
    return Arrays.equals(digest, computed.toBytes())
        ? Optional.of(
            new SettingsSnapshot(
                next, revision, horizon, tree, computed, outcomes, revisions, mark, changes))
        : Optional.empty();
  }

  private static SnapshotMark takeMark(ByteSource source) {
    long next = source.takeLong();
    long time = source.takeLong();
    return new SnapshotMark(next, time == NO_TIME ? OptionalLong.empty() : OptionalLong.of(time));
  }

  private static SettingsSnapshot.RememberedChange takeRemembered(ByteSource source) {
    UUID id = new UUID(source.takeLong(), source.takeLong());
    long offset = source.takeLong();
    int reason = source.takeByte();
    if (reason == ACCEPTED) {
      return new SettingsSnapshot.RememberedChange(id, new ChangeOutcome.Accepted(offset));
    }
    RefusalReason[] reasons = RefusalReason.values();
    if (reason >= reasons.length) {
      source.fail();
      return new SettingsSnapshot.RememberedChange(id, new ChangeOutcome.Accepted(offset));
    }
    ChangeOutcome refused = new ChangeOutcome.Refused(offset, reasons[reason], source.takeText());
    return new SettingsSnapshot.RememberedChange(id, refused);
  }
}

package org.pollenrock.core.settings;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads what {@link ByteSink} wrote, from bytes that may be corrupt.
 *
 * <p>After the first failure every read returns an empty value, so that a decoder checks {@link
 * #failed} once at its end. Numbers of nodes and their nesting are bounded.
 */
final class ByteSource {
  private static final int MAX_NODES = 4_000_000;

  private final ByteBuffer buffer;
  private final Map<String, String> texts = new HashMap<>();
  private boolean failed;
  private int nodes;

  ByteSource(byte[] bytes, int from, int to) {
    this.buffer = ByteBuffer.wrap(bytes, from, to - from);
  }

  boolean failed() {
    return failed;
  }

  /** Tells whether all bytes were read without failure. */
  boolean atEnd() {
    return !failed && !buffer.hasRemaining();
  }

  void fail() {
    failed = true;
  }

  private boolean has(int count) {
    if (failed || count < 0 || buffer.remaining() < count) {
      failed = true;
      return false;
    }
    return true;
  }

  int takeByte() {
    return has(1) ? buffer.get() & 0xff : 0;
  }

  int takeInt() {
    return has(Integer.BYTES) ? buffer.getInt() : 0;
  }

  long takeLong() {
    return has(Long.BYTES) ? buffer.getLong() : 0;
  }

  byte[] takeBytes(int count) {
    if (!has(count)) {
      return new byte[0];
    }
    byte[] bytes = new byte[count];
    buffer.get(bytes);
    return bytes;
  }

  byte[] takeRest() {
    return takeBytes(buffer.remaining());
  }

  /** Reads a count; each counted element takes at least one byte, so larger counts are corrupt. */
  int takeCount() {
    int value = 0;
    for (int shift = 0; shift <= 28; shift += 7) {
      int next = takeByte();
      value |= (next & 0x7f) << shift;
      if (next < 0x80) {
        return has(value) ? value : 0;
      }
    }
    failed = true;
    return 0;
  }

  String takeText() {
    byte[] bytes = takeBytes(takeCount());
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      return texts.computeIfAbsent(text, same -> same);
    } catch (CharacterCodingException e) {
      failed = true;
      return "";
    }
  }

  SettingsPath takePath() {
    int depth = takeCount();
    if (depth > SettingsPath.MAX_SEGMENTS) {
      failed = true;
      return SettingsPath.ROOT;
    }
    List<String> segments = new ArrayList<>(depth);
    for (int i = 0; i < depth; i++) {
      segments.add(takeText());
    }
    return new SettingsPath(segments);
  }

  SettingsNode takeNode() {
    return takeNode(0);
  }

  private SettingsNode takeNode(int depth) {
    nodes++;
    if (depth > SettingsPath.MAX_SEGMENTS || nodes > MAX_NODES) {
      failed = true;
    }
    int tag = takeByte();
    if (failed) {
      return SettingsNode.Branch.EMPTY;
    }
    return switch (tag) {
      case ByteSink.TAG_TEXT -> new SettingsNode.Text(takeText());
      case ByteSink.TAG_BRANCH -> takeBranch(depth);
      case ByteSink.TAG_ITEMS -> takeItems(depth);
      default -> {
        failed = true;
        yield SettingsNode.Branch.EMPTY;
      }
    };
  }

  private SettingsNode takeBranch(int depth) {
    int count = takeCount();
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    for (int i = 0; i < count && !failed; i++) {
      String name = takeText();
      if (entries.put(name, takeNode(depth + 1)) != null) {
        failed = true;
      }
    }
    return new SettingsNode.Branch(NameTable.copyOf(entries));
  }

  private SettingsNode takeItems(int depth) {
    int count = takeCount();
    List<SettingsNode> elements = new ArrayList<>();
    for (int i = 0; i < count && !failed; i++) {
      elements.add(takeNode(depth + 1));
    }
    return new SettingsNode.Items(elements);
  }
}

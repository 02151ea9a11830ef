package org.pollenrock.core.settings;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Writes numbers, texts and nodes as bytes. */
final class ByteSink {
  static final int TAG_TEXT = 1;
  static final int TAG_BRANCH = 2;
  static final int TAG_ITEMS = 3;

  private byte[] bytes = new byte[64];
  private int size;

  private void ensure(int more) {
    if (more > bytes.length - size) {
      bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
    }
  }

  void putByte(int value) {
    ensure(1);
    bytes[size++] = (byte) value;
  }

  void putBytes(byte[] value) {
    ensure(value.length);
    System.arraycopy(value, 0, bytes, size, value.length);
    size += value.length;
  }

  void putInt(int value) {
    for (int shift = 24; shift >= 0; shift -= 8) {
      putByte(value >>> shift);
    }
  }

  void putLong(long value) {
    putInt((int) (value >>> 32));
    putInt((int) value);
  }

  /** Writes a count of at least 0 in groups of seven bits. */
  void putCount(int value) {
    int rest = value;
    while (rest >= 0x80) {
      putByte(rest & 0x7f | 0x80);
      rest >>>= 7;
    }
    putByte(rest);
  }

  void putText(String value) {
    byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
    putCount(encoded.length);
    putBytes(encoded);
  }

  void putPath(SettingsPath path) {
    putCount(path.depth());
    path.segments().forEach(this::putText);
  }

  void putNode(SettingsNode node) {
    switch (node) {
      case SettingsNode.Text(String value) -> {
        putByte(TAG_TEXT);
        putText(value);
      }
      case SettingsNode.Branch(NameTable<SettingsNode> entries) -> {
        putByte(TAG_BRANCH);
        putCount(entries.size());
        entries.forEach(
            (name, value) -> {
              putText(name);
              putNode(value);
            });
      }
      case SettingsNode.Items items -> {
        putByte(TAG_ITEMS);
        putCount(items.elements().size());
        items.elements().forEach(this::putNode);
      }
    }
  }

  int size() {
    return size;
  }

  byte[] toBytes() {
    return Arrays.copyOf(bytes, size);
  }
}

package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Place in the settings tree, written with slashes: {@code customers/acme/limits/burst}.
 *
 * @param segments the names from the top, empty for the whole tree
 */
public record SettingsPath(List<String> segments) implements Comparable<SettingsPath> {
  /** The whole tree. */
  public static final SettingsPath ROOT = new SettingsPath(List.of());

  /** Greatest number of segments; the deepest key of the schema has seven. */
  public static final int MAX_SEGMENTS = 16;

  /** Copies the segments. */
  public SettingsPath {
    segments = List.copyOf(segments);
  }

  /**
   * Reads a path from its text.
   *
   * @param text segments separated by slashes; empty or "/" is the whole tree
   * @return the path
   * @throws IllegalArgumentException when a segment is empty or there are too many
   */
  public static SettingsPath parse(String text) {
    String trimmed = text.startsWith("/") ? text.substring(1) : text;
    if (trimmed.isEmpty()) {
      return ROOT;
    }
    List<String> segments = List.of(trimmed.split("/", MAX_SEGMENTS + 2));
    if (segments.size() > MAX_SEGMENTS) {
      throw new IllegalArgumentException("more than " + MAX_SEGMENTS + " path segments");
    }
    if (segments.stream().anyMatch(String::isEmpty)) {
      throw new IllegalArgumentException("empty path segment in '" + text + "'");
    }
    return new SettingsPath(segments);
  }

  /**
   * Builds a path.
   *
   * @param segments the names from the top
   * @return the path
   */
  public static SettingsPath of(String... segments) {
    return new SettingsPath(List.of(segments));
  }

  /**
   * Number of segments.
   *
   * @return 0 for the whole tree
   */
  public int depth() {
    return segments.size();
  }

  /**
   * One segment.
   *
   * @param index position from the top
   * @return the name
   * @throws IndexOutOfBoundsException when there is no such segment
   */
  public String segment(int index) {
    return segments.get(index);
  }

  /**
   * Path of an entry below this one.
   *
   * @param name the entry
   * @return the longer path
   */
  public SettingsPath child(String name) {
    List<String> longer = new ArrayList<>(segments.size() + 1);
    longer.addAll(segments);
    longer.add(name);
    return new SettingsPath(longer);
  }

  /**
   * The path without its first segments.
   *
   * @param count how many to drop
   * @return the rest
   */
  public SettingsPath skip(int count) {
    return new SettingsPath(segments.subList(count, segments.size()));
  }

  /**
   * The first segments of the path.
   *
   * @param count how many to keep
   * @return the ancestor
   */
  public SettingsPath prefix(int count) {
    return new SettingsPath(segments.subList(0, count));
  }

  /**
   * Tells whether this path is the other or one of its ancestors.
   *
   * @param other the path to compare with
   * @return true when the other lies at or below this one
   */
  public boolean contains(SettingsPath other) {
    return depth() <= other.depth() && segments.equals(other.segments.subList(0, depth()));
  }

  @Override
  public int compareTo(SettingsPath other) {
    int common = Math.min(depth(), other.depth());
    for (int i = 0; i < common; i++) {
      int order = segments.get(i).compareTo(other.segments.get(i));
      if (order != 0) {
        return order;
      }
    }
    return Integer.compare(depth(), other.depth());
  }

  @Override
  public String toString() {
    return String.join("/", segments);
  }
}

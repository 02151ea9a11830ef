package org.pollenrock.core.settings;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Type and permitted range of a value.
 *
 * @param type how it is written
 * @param min the least number, in the type's unit
 * @param max the greatest number, in the type's unit
 * @param unlimitedAllowed whether the word {@code unlimited} is permitted
 */
public record ValueRange(ValueType type, long min, long max, boolean unlimitedAllowed) {
  /** Number that stands for the word {@code unlimited}. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  private static final String UNLIMITED_TEXT = "unlimited";

  /** Checks the order of the bounds. */
  public ValueRange {
    Objects.requireNonNull(type, "type");
    if (min > max) {
      throw new IllegalArgumentException("min above max");
    }
  }

  /**
   * Builds a range from the texts of its bounds.
   *
   * @param type how values are written
   * @param min the least value
   * @param max the greatest value
   * @return the range, without {@code unlimited}
   */
  public static ValueRange of(ValueType type, String min, String max) {
    return new ValueRange(
        type, type.parse(min).orElseThrow(), type.parse(max).orElseThrow(), false);
  }

  /**
   * The same range with the word {@code unlimited} permitted.
   *
   * @return the wider range
   */
  public ValueRange orUnlimited() {
    return new ValueRange(type, min, max, true);
  }

  /**
   * Reads and checks a text.
   *
   * @param path where the text stands, for the problem
   * @param text the text
   * @param problems receives what is wrong
   * @return the number, or empty when the text is wrong
   */
  public OptionalLong parse(SettingsPath path, String text, ProblemList problems) {
    OptionalLong value = find(text);
    if (value.isEmpty()) {
      boolean typed = type.parse(text).isPresent();
      problems.add(
          path,
          typed
              ? abbreviated(text) + " is outside the range " + rangeText()
              : "expected " + description() + ", found '" + abbreviated(text) + "'");
    }
    return value;
  }

  /** Reads a text; empty when it is of another type or out of range. */
  OptionalLong find(String text) {
    if (unlimitedAllowed && text.equals(UNLIMITED_TEXT)) {
      return OptionalLong.of(UNLIMITED);
    }
    OptionalLong value = type.parse(text);
    boolean inRange = value.isPresent() && value.getAsLong() >= min && value.getAsLong() <= max;
    return inRange ? value : OptionalLong.empty();
  }

  /**
   * Writes a number.
   *
   * @param value a number in the range
   * @return its text
   */
  public String format(long value) {
    return unlimitedAllowed && value == UNLIMITED ? UNLIMITED_TEXT : type.format(value);
  }

  /**
   * The range as a text.
   *
   * @return such as {@code 1ms to 1h}
   */
  public String rangeText() {
    return type.format(min) + " to " + type.format(max);
  }

  private String description() {
    return type.description() + (unlimitedAllowed ? " or 'unlimited'" : "");
  }

  /** Longest part of a wrong text that a message repeats. */
  static String abbreviated(String text) {
    return text.length() <= 40 ? text : text.substring(0, 40) + "...";
  }
}

package org.pollenrock.core.settings;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenrock.core.model.Priority;

/** How a value is written and which whole number stands for it in memory. */
public enum ValueType {
  /** A whole number. */
  COUNT("a whole number"),
  /** A number with up to three decimals, held as thousandths. */
  DECIMAL("a number with up to three decimals"),
  /** A time span such as {@code 250ms}, held as nanoseconds. */
  DURATION("a duration with a unit (ns, us, ms, s, m, h, d)"),
  /** A number of bytes such as {@code 4KiB}. */
  SIZE("a size with a unit (B, KiB, MiB, GiB)"),
  /** A request class, held as its ordinal. */
  PRIORITY("one of urgent, interactive, batch"),
  /** True or false, held as 1 or 0. */
  FLAG("true or false");

  /** Thousandths in one unit of {@link #DECIMAL}. */
  public static final long DECIMAL_SCALE = 1_000;

  private static final int MAX_TEXT = 32;
  private static final Pattern COUNT_TEXT = Pattern.compile("\\d{1,18}");
  private static final Pattern DECIMAL_TEXT = Pattern.compile("\\d{1,14}(\\.\\d{1,3})?");
  private static final Pattern UNIT_TEXT = Pattern.compile("(\\d{1,15})([A-Za-z]{1,3})");
  private static final List<Unit> DURATION_UNITS =
      List.of(
          new Unit("d", 86_400_000_000_000L),
          new Unit("h", 3_600_000_000_000L),
          new Unit("m", 60_000_000_000L),
          new Unit("s", 1_000_000_000L),
          new Unit("ms", 1_000_000L),
          new Unit("us", 1_000L),
          new Unit("ns", 1L));
  private static final List<Unit> SIZE_UNITS =
      List.of(
          new Unit("GiB", 1L << 30),
          new Unit("MiB", 1L << 20),
          new Unit("KiB", 1L << 10),
          new Unit("B", 1L));

  private final String description;

  ValueType(String description) {
    this.description = description;
  }

  private record Unit(String name, long factor) {}

  /**
   * What a valid text looks like.
   *
   * @return a phrase for error messages
   */
  public String description() {
    return description;
  }

  /**
   * Reads a text.
   *
   * @param text the text as written
   * @return the number that stands for it, or empty when the text is not of this type
   */
  public OptionalLong parse(String text) {
    if (text.length() > MAX_TEXT) {
      return OptionalLong.empty();
    }
    return switch (this) {
      case COUNT ->
          COUNT_TEXT.matcher(text).matches()
              ? OptionalLong.of(Long.parseLong(text))
              : OptionalLong.empty();
      case DECIMAL ->
          DECIMAL_TEXT.matcher(text).matches()
              ? OptionalLong.of(new BigDecimal(text).movePointRight(3).longValueExact())
              : OptionalLong.empty();
      case DURATION -> parseUnit(text, DURATION_UNITS);
      case SIZE -> parseUnit(text, SIZE_UNITS);
      case PRIORITY -> parsePriority(text);
      case FLAG -> parseFlag(text);
    };
  }

  /**
   * Writes a number in its shortest exact form.
   *
   * @param value a number that {@link #parse} returned
   * @return the text
   */
  public String format(long value) {
    return switch (this) {
      case COUNT -> Long.toString(value);
      case DECIMAL -> BigDecimal.valueOf(value, 3).stripTrailingZeros().toPlainString();
      case DURATION -> value == 0 ? "0s" : formatUnit(value, DURATION_UNITS);
      case SIZE -> value == 0 ? "0B" : formatUnit(value, SIZE_UNITS);
      case PRIORITY -> Priority.values()[(int) value].name().toLowerCase(Locale.ROOT);
      case FLAG -> Boolean.toString(value != 0);
    };
  }

  private static OptionalLong parseUnit(String text, List<Unit> units) {
    Matcher matcher = UNIT_TEXT.matcher(text);
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    long number = Long.parseLong(matcher.group(1));
    for (Unit unit : units) {
      if (unit.name().equals(matcher.group(2))) {
        return number > Long.MAX_VALUE / unit.factor()
            ? OptionalLong.empty()
            : OptionalLong.of(number * unit.factor());
      }
    }
    return OptionalLong.empty();
  }

  private static String formatUnit(long value, List<Unit> units) {
    for (Unit unit : units) {
      if (value % unit.factor() == 0) {
        return value / unit.factor() + unit.name();
      }
    }
    throw new IllegalStateException("the last unit divides every number");
  }

  private static OptionalLong parsePriority(String text) {
    for (Priority priority : Priority.values()) {
      if (priority.name().toLowerCase(Locale.ROOT).equals(text)) {
        return OptionalLong.of(priority.ordinal());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parseFlag(String text) {
    return switch (text) {
      case "true" -> OptionalLong.of(1);
      case "false" -> OptionalLong.of(0);
      default -> OptionalLong.empty();
    };
  }
}

package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.List;

/** Values that customers, callers and kinds inherit, with place, type, range and default. */
public enum SettingKey {
  /** Requests admitted per second, in thousandths. */
  REQUESTS_PER_SECOND(
      "limits/requests-per-second", decimal("0.001", "1000000").orUnlimited(), "unlimited"),
  /** Requests that may arrive at once above the rate. */
  BURST("limits/burst", count("1", "1000000"), "100"),
  /** Requests that run at the same time. */
  CONCURRENT_REQUESTS(
      "limits/concurrent-requests", count("1", "1000000").orUnlimited(), "unlimited"),
  /** Prompt tokens admitted per second. */
  PROMPT_TOKENS_PER_SECOND(
      "limits/prompt-tokens-per-second", count("1", "1000000000").orUnlimited(), "unlimited"),
  /** Share of capacity relative to others of the same priority, in thousandths. */
  WEIGHT("weight", decimal("0.001", "1000"), "1"),
  /** Class of the request. */
  PRIORITY("priority", new ValueRange(ValueType.PRIORITY, 0, 2, false), "interactive"),
  /** Time to the end of the answer when the caller sends no deadline, in nanoseconds. */
  DEADLINE("deadline", duration("1ms", "1h"), "2m"),
  /** Weight of the expected time to first token in a placement, in thousandths. */
  TTFT_WEIGHT("placement/ttft-weight", decimal("0", "100"), "1"),
  /** Weight of missing prefix tokens in a placement, in thousandths. */
  HIT_WEIGHT("placement/hit-weight", decimal("0", "100"), "1"),
  /** Gain that another data centre must offer, in nanoseconds. */
  SPILL_MARGIN("placement/spill-margin", duration("0s", "10s"), "20ms"),
  /** Bytes of prompt text in one cache block. */
  BLOCK_SIZE("placement/block-size", size("256B", "64KiB"), "4KiB"),
  /** Greatest number of attempts, the first included. */
  RETRY_ATTEMPTS("retry/attempts", count("1", "10"), "3"),
  /** Retries earned by first attempts, in thousandths of a percent. */
  RETRY_BUDGET_PERCENT("retry/budget-percent", decimal("0", "100"), "10"),
  /** First waiting time between attempts, in nanoseconds. */
  RETRY_BACKOFF_BASE("retry/backoff-base", duration("1ms", "10s"), "50ms"),
  /** Greatest waiting time between attempts, in nanoseconds. */
  RETRY_BACKOFF_MAX("retry/backoff-max", duration("1ms", "1m"), "2s");

  private static final List<SettingKey> ALL = List.of(values());

  private final SettingsPath path;
  private final ValueRange range;
  private final long defaultValue;

  SettingKey(String path, ValueRange range, String defaultText) {
    this.path = SettingsPath.parse(path);
    this.range = range;
    this.defaultValue = range.parse(this.path, defaultText, new ProblemList()).orElseThrow();
  }

  private static ValueRange count(String min, String max) {
    return ValueRange.of(ValueType.COUNT, min, max);
  }

  private static ValueRange decimal(String min, String max) {
    return ValueRange.of(ValueType.DECIMAL, min, max);
  }

  private static ValueRange duration(String min, String max) {
    return ValueRange.of(ValueType.DURATION, min, max);
  }

  private static ValueRange size(String min, String max) {
    return ValueRange.of(ValueType.SIZE, min, max);
  }

  /**
   * All keys in the order of the schema.
   *
   * @return a shared list
   */
  public static List<SettingKey> all() {
    return ALL;
  }

  /**
   * Groups that hold keys, such as {@code limits}.
   *
   * @return the names in the order of the schema
   */
  static List<String> groups() {
    return Arrays.stream(values())
        .filter(key -> key.path.depth() == 2)
        .map(key -> key.path.segment(0))
        .distinct()
        .toList();
  }

  /**
   * Place below the branch that holds the value.
   *
   * @return one or two segments
   */
  public SettingsPath path() {
    return path;
  }

  /**
   * Type and range.
   *
   * @return the range
   */
  public ValueRange range() {
    return range;
  }

  /**
   * Number that applies when no ancestor sets the key.
   *
   * @return in the unit of the type
   */
  public long defaultValue() {
    return defaultValue;
  }
}

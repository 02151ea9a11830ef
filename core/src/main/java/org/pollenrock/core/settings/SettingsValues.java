package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The inheritable values that one branch of the tree sets itself.
 *
 * <p>A bit mask and one number for each key that is set: most branches set a few of the keys, and
 * there are tens of thousands of branches.
 */
public final class SettingsValues {
  /** A branch that sets nothing. */
  public static final SettingsValues NONE = new SettingsValues(0, new long[0]);

  private final int mask;
  private final long[] numbers;

  private SettingsValues(int mask, long[] numbers) {
    this.mask = mask;
    this.numbers = numbers;
  }

  /**
   * Copies values.
   *
   * @param values numbers by key, each within its range
   * @return the packed values
   */
  public static SettingsValues of(Map<SettingKey, Long> values) {
    if (values.isEmpty()) {
      return NONE;
    }
    EnumMap<SettingKey, Long> sorted = new EnumMap<>(values);
    int mask = 0;
    long[] numbers = new long[sorted.size()];
    int next = 0;
    for (Map.Entry<SettingKey, Long> entry : sorted.entrySet()) {
      mask |= 1 << entry.getKey().ordinal();
      numbers[next++] = entry.getValue();
    }
    return new SettingsValues(mask, numbers);
  }

  /**
   * Tells whether this branch sets a key.
   *
   * @param key the key
   * @return true when it does
   */
  public boolean has(SettingKey key) {
    return (mask & 1 << key.ordinal()) != 0;
  }

  /**
   * Value that this branch sets.
   *
   * @param key the key
   * @return the number in the unit of the key, or empty when the branch does not set it
   */
  public OptionalLong find(SettingKey key) {
    return has(key) ? OptionalLong.of(number(key)) : OptionalLong.empty();
  }

  /** Number of a key that is set. */
  long number(SettingKey key) {
    int below = mask & (1 << key.ordinal()) - 1;
    return numbers[Integer.bitCount(below)];
  }

  /**
   * Tells whether the branch sets nothing.
   *
   * @return true when it sets no key
   */
  public boolean isEmpty() {
    return mask == 0;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SettingsValues values
        && mask == values.mask
        && Arrays.equals(numbers, values.numbers);
  }

  @Override
  public int hashCode() {
    return 31 * mask + Arrays.hashCode(numbers);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("{");
    for (SettingKey key : SettingKey.all()) {
      if (has(key)) {
        text.append(key.path()).append('=').append(key.range().format(number(key))).append(' ');
      }
    }
    return text.append('}').toString();
  }
}

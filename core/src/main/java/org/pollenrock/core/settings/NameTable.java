package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Immutable map from names to values, sorted by name, held as two arrays.
 *
 * <p>An entry costs two references. A changed copy shares all values with its original; copying the
 * arrays of 10,000 entries takes a few microseconds, which a settings change can afford.
 *
 * @param <V> type of the values
 */
public final class NameTable<V> {
  private static final NameTable<?> EMPTY = new NameTable<>(new String[0], new Object[0]);

  private final String[] names;
  private final Object[] values;

  private NameTable(String[] names, Object[] values) {
    this.names = names;
    this.values = values;
  }

  /**
   * A table without entries.
   *
   * @param <V> type of the values
   * @return the shared empty table
   */
  @SuppressWarnings("unchecked") // The empty table holds no value of any type.
  public static <V> NameTable<V> empty() {
    return (NameTable<V>) EMPTY;
  }

  /**
   * Copies a sorted map.
   *
   * @param map the entries in natural order of their names
   * @param <V> type of the values
   * @return the table
   */
  public static <V> NameTable<V> copyOf(SortedMap<String, ? extends V> map) {
    if (map.isEmpty()) {
      return empty();
    }
    return new NameTable<>(map.keySet().toArray(String[]::new), map.values().toArray());
  }

  /**
   * Value of a name.
   *
   * @param name the name
   * @return its value, when there is one
   */
  public Optional<V> find(String name) {
    int index = Arrays.binarySearch(names, name);
    return index < 0 ? Optional.empty() : Optional.of(value(index));
  }

  /**
   * Tells whether a name has a value.
   *
   * @param name the name
   * @return true when it has
   */
  public boolean contains(String name) {
    return Arrays.binarySearch(names, name) >= 0;
  }

  /**
   * Copy with one entry added or replaced.
   *
   * @param name the name
   * @param value its new value
   * @return the changed copy
   */
  public NameTable<V> with(String name, V value) {
    Objects.requireNonNull(value, "value");
    int index = Arrays.binarySearch(names, name);
    if (index >= 0) {
      Object[] replaced = values.clone();
      replaced[index] = value;
      return new NameTable<>(names, replaced);
    }
    int at = -index - 1;
    String[] longerNames = Arrays.copyOf(names, names.length + 1);
    System.arraycopy(names, at, longerNames, at + 1, names.length - at);
    longerNames[at] = name;
    Object[] longerValues = Arrays.copyOf(values, values.length + 1);
    System.arraycopy(values, at, longerValues, at + 1, values.length - at);
    longerValues[at] = value;
    return new NameTable<>(longerNames, longerValues);
  }

  /**
   * Copy without an entry.
   *
   * @param name the name to leave out
   * @return the changed copy, or this table when it has no such name
   */
  public NameTable<V> without(String name) {
    int index = Arrays.binarySearch(names, name);
    if (index < 0) {
      return this;
    }
    if (names.length == 1) {
      return empty();
    }
    String[] fewerNames = Arrays.copyOf(names, names.length - 1);
    System.arraycopy(names, index + 1, fewerNames, index, fewerNames.length - index);
    Object[] fewerValues = Arrays.copyOf(values, values.length - 1);
    System.arraycopy(values, index + 1, fewerValues, index, fewerValues.length - index);
    return new NameTable<>(fewerNames, fewerValues);
  }

  @SuppressWarnings("unchecked") // The array is written only from values of type V.
  private V value(int index) {
    return (V) values[index];
  }

  /**
   * Number of entries.
   *
   * @return the count
   */
  public int size() {
    return names.length;
  }

  /**
   * Tells whether there is no entry.
   *
   * @return true when there is none
   */
  public boolean isEmpty() {
    return names.length == 0;
  }

  /**
   * The names in natural order.
   *
   * @return an unmodifiable view
   */
  public List<String> names() {
    return Collections.unmodifiableList(Arrays.asList(names));
  }

  /**
   * The values in the order of their names.
   *
   * @return an unmodifiable view
   */
  @SuppressWarnings("unchecked") // The array is written only from values of type V.
  public List<V> values() {
    return (List<V>) Collections.unmodifiableList(Arrays.asList(values));
  }

  /**
   * Visits every entry in the order of names.
   *
   * @param visitor receives name and value
   */
  public void forEach(BiConsumer<? super String, ? super V> visitor) {
    for (int i = 0; i < names.length; i++) {
      visitor.accept(names[i], value(i));
    }
  }

  /**
   * Visits every name whose value is not the same object in another table, in one pass.
   *
   * @param other the table to compare with
   * @param visitor receives the names that were added, removed or replaced
   */
  void forEachChanged(NameTable<V> other, Consumer<String> visitor) {
    int left = 0;
    int right = 0;
    while (left < names.length || right < other.names.length) {
      int order = order(left, other, right);
      if (order != 0 || values[left] != other.values[right]) {
        visitor.accept(order <= 0 ? names[left] : other.names[right]);
      }
      left += order <= 0 ? 1 : 0;
      right += order >= 0 ? 1 : 0;
    }
  }

  private int order(int left, NameTable<V> other, int right) {
    if (left == names.length) {
      return 1;
    }
    if (right == other.names.length) {
      return -1;
    }
    // Neighbouring trees share the text of a name, which needs no comparison.
    return names[left] == other.names[right] ? 0 : names[left].compareTo(other.names[right]);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof NameTable<?> table
        && Arrays.equals(names, table.names)
        && Arrays.equals(values, table.values);
  }

  @Override
  public int hashCode() {
    return 31 * Arrays.hashCode(names) + Arrays.hashCode(values);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("{");
    forEach((name, value) -> text.append(Map.entry(name, value)).append(' '));
    return text.append('}').toString();
  }
}

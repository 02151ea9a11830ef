package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.regex.Pattern;

/**
 * Reads the entries of one branch and reports every entry that nothing asked for.
 *
 * <p>Reading goes on after a problem, so that one check reports all of them.
 */
public final class BranchReader {
  /** Greatest length of a name or text value. */
  public static final int MAX_TEXT = 1_024;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}");

  private final SettingsPath path;
  private final NameTable<SettingsNode> entries;
  private final ProblemList problems;
  private final List<String> known = new ArrayList<>();

  /**
   * Begins to read a node.
   *
   * @param path where it stands
   * @param node the node; anything but a branch is a problem and read as an empty one
   * @param problems receives what is wrong
   */
  public BranchReader(SettingsPath path, SettingsNode node, ProblemList problems) {
    this.path = Objects.requireNonNull(path, "path");
    this.problems = Objects.requireNonNull(problems, "problems");
    if (node instanceof SettingsNode.Branch branch) {
      this.entries = branch.entries();
    } else {
      problems.add(path, "expected named entries");
      this.entries = NameTable.empty();
    }
  }

  /**
   * Where the branch stands.
   *
   * @return its path
   */
  public SettingsPath path() {
    return path;
  }

  /**
   * Names of the entries.
   *
   * @return the names in natural order
   */
  public List<String> names() {
    return entries.names();
  }

  /**
   * Finds an entry and marks its name as valid.
   *
   * @param name the entry
   * @return the entry, when it is present
   */
  public Optional<SettingsNode> find(String name) {
    if (!known.contains(name)) {
      known.add(name);
    }
    return entries.find(name);
  }

  /**
   * Begins to read an entry that is a branch.
   *
   * @param name the entry
   * @return its reader, when it is present
   */
  public Optional<BranchReader> branch(String name) {
    return find(name).map(node -> new BranchReader(path.child(name), node, problems));
  }

  /**
   * Reads an entry within a range.
   *
   * @param name the entry
   * @param range its type and range
   * @return the number, or empty when it is absent or wrong
   */
  public OptionalLong number(String name, ValueRange range) {
    Optional<String> text = text(name);
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    OptionalLong value = range.find(text.get());
    // Paths are built for problems only: a tree of 10,000 customers has 100,000 values.
    return value.isPresent() ? value : range.parse(path.child(name), text.get(), problems);
  }

  /**
   * Reads an entry within a range.
   *
   * @param name the entry
   * @param range its type and range
   * @param absent the number when the entry is absent or wrong
   * @return the number
   */
  public long number(String name, ValueRange range, long absent) {
    return number(name, range).orElse(absent);
  }

  /**
   * Reads a text.
   *
   * @param name the entry
   * @return its text, or empty when it is absent or no text
   */
  public Optional<String> text(String name) {
    Optional<SettingsNode> node = find(name);
    if (node.isPresent()
        && node.get() instanceof SettingsNode.Text(String value)
        && isValid(value)) {
      return Optional.of(value);
    }
    return node.flatMap(wrong -> text(path.child(name), wrong));
  }

  private Optional<String> text(SettingsPath at, SettingsNode node) {
    if (!(node instanceof SettingsNode.Text(String value))) {
      problems.add(at, "expected a single value");
      return Optional.empty();
    }
    if (!isValid(value)) {
      problems.add(at, "expected a text of 1 to " + MAX_TEXT + " characters");
      return Optional.empty();
    }
    return Optional.of(value);
  }

  private static boolean isValid(String value) {
    return !value.isBlank() && value.length() <= MAX_TEXT;
  }

  /**
   * Reads a text that must be present.
   *
   * @param name the entry
   * @return its text, or empty after a problem
   */
  public Optional<String> requiredText(String name) {
    if (find(name).isEmpty()) {
      problems.add(path, "entry '" + name + "' is missing");
    }
    return text(name);
  }

  /**
   * Reads a list of texts; a single text is a list of one.
   *
   * @param name the entry
   * @return the texts, empty when the entry is absent
   */
  public List<String> texts(String name) {
    Optional<SettingsNode> node = find(name);
    if (node.isEmpty()) {
      return List.of();
    }
    if (!(node.get() instanceof SettingsNode.Items(List<SettingsNode> elements))) {
      return text(name).map(List::of).orElse(List.of());
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < elements.size(); i++) {
      text(path.child(name).child(Integer.toString(i)), elements.get(i)).ifPresent(texts::add);
    }
    return texts;
  }

  /**
   * Reads a list of branches.
   *
   * @param name the entry
   * @return one reader for each element, empty when the entry is absent
   */
  public List<BranchReader> branches(String name) {
    Optional<SettingsNode> node = find(name);
    if (node.isEmpty()) {
      return List.of();
    }
    if (!(node.get() instanceof SettingsNode.Items(List<SettingsNode> elements))) {
      problems.add(path.child(name), "expected a list");
      return List.of();
    }
    List<BranchReader> readers = new ArrayList<>();
    for (int i = 0; i < elements.size(); i++) {
      SettingsPath at = path.child(name).child(Integer.toString(i));
      readers.add(new BranchReader(at, elements.get(i), problems));
    }
    return readers;
  }

  /**
   * Reads a branch whose entries are named by operators.
   *
   * @param name the entry
   * @param reader reads one of the named entries from its path and node
   * @param <V> type of the values
   * @return the values by name, empty when the entry is absent
   */
  public <V> NameTable<V> table(String name, BiFunction<SettingsPath, SettingsNode, V> reader) {
    Optional<SettingsNode> node = find(name);
    if (node.isEmpty()) {
      return NameTable.empty();
    }
    if (!(node.get() instanceof SettingsNode.Branch(NameTable<SettingsNode> named))) {
      problems.add(path.child(name), "expected named entries");
      return NameTable.empty();
    }
    TreeMap<String, V> values = new TreeMap<>();
    named.forEach(
        (key, value) -> {
          SettingsPath at = path.child(name).child(key);
          checkName(at, key, problems);
          values.put(key, reader.apply(at, value));
        });
    return NameTable.copyOf(values);
  }

  /** Reports a name that operators may not choose. */
  static void checkName(SettingsPath at, String name, ProblemList problems) {
    if (!NAME.matcher(name).matches()) {
      problems.add(
          at, "a name has 1 to 128 letters, digits or ._:@+- and begins with a letter or digit");
    }
  }

  /**
   * Reports a problem with an entry.
   *
   * @param name the entry
   * @param message what is wrong
   */
  public void problem(String name, String message) {
    problems.add(path.child(name), message);
  }

  /** Reports every entry that was not asked for, with the closest valid name. */
  public void finish() {
    for (String name : entries.names()) {
      if (!known.contains(name) && !problems.isFull()) {
        String hint =
            ClosestName.find(name, known)
                .map(closest -> "; did you mean '" + closest + "'?")
                .orElse("; valid names are " + String.join(", ", known));
        problems.add(path.child(name), "unknown key '" + ValueRange.abbreviated(name) + "'" + hint);
      }
    }
  }
}

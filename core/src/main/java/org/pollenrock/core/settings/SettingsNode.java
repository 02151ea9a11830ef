package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;

/** Settings as plain text, lists and branches, before they are checked against the schema. */
public sealed interface SettingsNode {
  /**
   * One value, as it is written.
   *
   * @param value the text
   */
  record Text(String value) implements SettingsNode {
    /** Checks that the text is present. */
    public Text {
      Objects.requireNonNull(value, "value");
    }
  }

  /**
   * Named entries.
   *
   * @param entries the entries by name
   */
  record Branch(NameTable<SettingsNode> entries) implements SettingsNode {
    /** A branch without entries. */
    public static final Branch EMPTY = new Branch(NameTable.empty());

    /** Checks that the entries are present. */
    public Branch {
      Objects.requireNonNull(entries, "entries");
    }
  }

  /**
   * A list; a change replaces it as a whole.
   *
   * @param elements the elements in order
   */
  record Items(List<SettingsNode> elements) implements SettingsNode {
    /** Copies the elements. */
    public Items {
      elements = List.copyOf(elements);
    }
  }
}

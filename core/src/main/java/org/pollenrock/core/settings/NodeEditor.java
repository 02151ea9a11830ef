package org.pollenrock.core.settings;

import java.util.Optional;

/** Applies one edit to plain nodes. */
final class NodeEditor {
  private final SettingsEdit edit;
  private final ProblemList problems;

  private NodeEditor(SettingsEdit edit, ProblemList problems) {
    this.edit = edit;
    this.problems = problems;
  }

  /**
   * Applies an edit.
   *
   * @param node what stands at the first segments of the path, when something does
   * @param depth how many segments lead to it
   * @param edit the edit
   * @param problems receives the reason when the edit does not apply
   * @return what stands there afterwards
   */
  static Optional<SettingsNode> apply(
      Optional<SettingsNode> node, int depth, SettingsEdit edit, ProblemList problems) {
    return new NodeEditor(edit, problems).applyAt(node, depth);
  }

  private Optional<SettingsNode> applyAt(Optional<SettingsNode> node, int depth) {
    if (depth == edit.path().depth()) {
      return applyHere(node);
    }
    if (node.isEmpty() && !mayCreate(depth)) {
      problems.add(edit.path(), "there is no '" + edit.path().prefix(depth) + "'");
      return node;
    }
    SettingsNode holder = node.orElse(SettingsNode.Branch.EMPTY);
    if (!(holder instanceof SettingsNode.Branch(NameTable<SettingsNode> entries))) {
      problems.add(
          edit.path(), "'" + edit.path().prefix(depth) + "' is a value and is set as a whole");
      return node;
    }
    String name = edit.path().segment(depth);
    Optional<SettingsNode> changed = applyAt(entries.find(name), depth + 1);
    return Optional.of(
        new SettingsNode.Branch(
            changed.isPresent() ? entries.with(name, changed.get()) : entries.without(name)));
  }

  private Optional<SettingsNode> applyHere(Optional<SettingsNode> node) {
    return switch (edit) {
      case SettingsEdit.Put put -> Optional.of(put.value());
      case SettingsEdit.Remove remove -> {
        if (node.isEmpty()) {
          problems.add(remove.path(), "there is nothing to remove");
        }
        yield Optional.empty();
      }
    };
  }

  /**
   * Groups are created on the way, named entries only as a whole: a misspelt customer in the path
   * of a single value would otherwise create a customer.
   */
  private boolean mayCreate(int depth) {
    SettingsPath path = edit.path();
    boolean sectionEntry = depth == 2 && !path.segment(0).equals("root");
    boolean caller =
        depth == 4 && path.segment(0).equals("customers") && path.segment(2).equals("callers");
    return edit instanceof SettingsEdit.Put && !sectionEntry && !caller;
  }
}

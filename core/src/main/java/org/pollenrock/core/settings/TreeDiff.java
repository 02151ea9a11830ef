package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Finds the edits that turn one tree into another. */
public final class TreeDiff {
  private final List<SettingsEdit> edits = new ArrayList<>();

  private TreeDiff() {}

  /**
   * Compares two trees.
   *
   * @param from the tree to start from
   * @param to the tree to reach
   * @return the edits, each as deep in the tree as possible so that it conflicts with few others
   */
  public static List<SettingsEdit> edits(SettingsTree from, SettingsTree to) {
    TreeDiff diff = new TreeDiff();
    diff.compareBranches(SettingsPath.ROOT, TreeWriter.write(from), TreeWriter.write(to));
    return List.copyOf(diff.edits);
  }

  private void compareBranches(
      SettingsPath path, SettingsNode.Branch from, SettingsNode.Branch to) {
    for (String name : from.entries().names()) {
      if (!to.entries().contains(name)) {
        remove(path.child(name), from.entries().find(name).orElseThrow());
      }
    }
    to.entries()
        .forEach((name, value) -> compare(path.child(name), from.entries().find(name), value));
  }

  /** Top-level sections are compared entry by entry even when one side lacks the section. */
  private void remove(SettingsPath path, SettingsNode node) {
    if (path.depth() == 1 && node instanceof SettingsNode.Branch branch) {
      compareBranches(path, branch, SettingsNode.Branch.EMPTY);
    } else {
      edits.add(new SettingsEdit.Remove(path));
    }
  }

  private void compare(SettingsPath path, Optional<SettingsNode> from, SettingsNode to) {
    if (from.isPresent() && from.get().equals(to)) {
      return;
    }
    Optional<SettingsNode> start =
        from.isEmpty() && path.depth() == 1 ? Optional.of(SettingsNode.Branch.EMPTY) : from;
    if (start.isPresent()
        && start.get() instanceof SettingsNode.Branch left
        && to instanceof SettingsNode.Branch right) {
      compareBranches(path, left, right);
      return;
    }
    edits.add(new SettingsEdit.Put(path, to));
  }
}

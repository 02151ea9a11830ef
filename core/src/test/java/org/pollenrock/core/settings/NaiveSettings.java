package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

/** Acceptance in its plainest form: nested maps, whole-tree checks and pairwise comparisons. */
final class NaiveSettings {
  private record Accepted(long offset, SettingsChange change) {}

  private final List<Accepted> accepted = new ArrayList<>();
  private final Map<UUID, Boolean> decided = new TreeMap<>();
  private TreeMap<String, Object> content = new TreeMap<>();
  private long revision = -1;

  long revision() {
    return revision;
  }

  SettingsTree tree() {
    return SettingsFixtures.tree((SettingsNode) node(content));
  }

  Map<UUID, Boolean> decided() {
    return decided;
  }

  void apply(LogRecord entry) {
    if (!(SettingsCodec.decode(entry.data()) instanceof DecodedRecord.Change(var change))
        || decided.containsKey(change.id())) {
      return;
    }
    TreeMap<String, Object> changed = tryEdits(change);
    boolean ok = change.base() < entry.offset() && !conflicts(change) && changed != null;
    decided.put(change.id(), ok);
    if (ok) {
      content = changed;
      revision = entry.offset();
      accepted.add(new Accepted(entry.offset(), change));
    }
  }

  private boolean conflicts(SettingsChange change) {
    for (Accepted earlier : accepted) {
      for (SettingsEdit left : earlier.change().edits()) {
        for (SettingsEdit right : change.edits()) {
          String a = "/" + left.path() + "/";
          String b = "/" + right.path() + "/";
          boolean related = a.equals("//") || b.equals("//") || a.startsWith(b) || b.startsWith(a);
          if (related && earlier.offset() > change.base()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** The changed content, or null when an edit does not apply or the result is not valid. */
  private TreeMap<String, Object> tryEdits(SettingsChange change) {
    TreeMap<String, Object> copy = copy(content);
    for (SettingsEdit edit : change.edits()) {
      if (edit.path().depth() == 0) {
        copy = plain(((SettingsEdit.Put) edit).value());
      } else if (!edit(copy, edit)) {
        return null;
      }
    }
    ProblemList problems = new ProblemList();
    SettingsTree tree = TreeReader.read((SettingsNode) node(copy), problems);
    return problems.isEmpty() ? plain(TreeWriter.write(tree)) : null;
  }

  @SuppressWarnings("unchecked") // Every map in the content has this type.
  private static boolean edit(TreeMap<String, Object> top, SettingsEdit edit) {
    TreeMap<String, Object> at = top;
    List<String> segments = edit.path().segments();
    for (int i = 0; i < segments.size() - 1; i++) {
      Object below = at.get(segments.get(i));
      if (below == null) {
        boolean named =
            i > 0 && List.of("customers", "callers").contains(segments.get(i - 1))
                || i == 1 && segments.get(0).equals("kinds");
        if (named || edit instanceof SettingsEdit.Remove) {
          return false;
        }
        below = new TreeMap<String, Object>();
        at.put(segments.get(i), below);
      }
      if (below instanceof String) {
        return false;
      }
      at = (TreeMap<String, Object>) below;
    }
    return switch (edit) {
      case SettingsEdit.Put put -> {
        Object value =
            put.value() instanceof SettingsNode.Text(String text) ? text : plain(put.value());
        at.put(segments.getLast(), value);
        yield true;
      }
      case SettingsEdit.Remove remove -> at.remove(segments.getLast()) != null;
    };
  }

  private static TreeMap<String, Object> copy(TreeMap<String, Object> content) {
    return plain((SettingsNode) node(content));
  }

  private static TreeMap<String, Object> plain(SettingsNode node) {
    TreeMap<String, Object> map = new TreeMap<>();
    ((SettingsNode.Branch) node)
        .entries()
        .forEach(
            (name, value) ->
                map.put(
                    name, value instanceof SettingsNode.Text(String text) ? text : plain(value)));
    return map;
  }

  @SuppressWarnings("unchecked") // Every map in the content has this type.
  private static Object node(Object value) {
    if (value instanceof String text) {
      return new SettingsNode.Text(text);
    }
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    ((TreeMap<String, Object>) value)
        .forEach((name, below) -> entries.put(name, (SettingsNode) node(below)));
    return new SettingsNode.Branch(NameTable.copyOf(entries));
  }
}

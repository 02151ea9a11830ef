package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Applies edits to a tree.
 *
 * <p>Only the entries that edits touch are read and checked again, so that a change costs the same
 * with 10,000 customers as with ten but for copies of arrays. An edit of a whole section reads the
 * whole tree again.
 */
public final class TreeEditor {
  private static final Set<String> SECTIONS =
      Set.of("kinds", "customers", "models", "services", "servers");
  private static final String ROOT = "root";

  private final SettingsTree tree;
  private final ProblemList problems;
  private final Map<SettingsPath, Optional<SettingsNode>> touched = new LinkedHashMap<>();

  private TreeEditor(SettingsTree tree, ProblemList problems) {
    this.tree = Objects.requireNonNull(tree, "tree");
    this.problems = Objects.requireNonNull(problems, "problems");
  }

  /**
   * Applies edits in order.
   *
   * @param tree the tree to start from, which stays as it is
   * @param edits the edits
   * @param problems receives what is wrong; the result is to be used only when there is nothing
   * @return the changed tree, which shares all untouched entries
   */
  public static SettingsTree apply(
      SettingsTree tree, List<SettingsEdit> edits, ProblemList problems) {
    TreeEditor editor = new TreeEditor(tree, problems);
    return edits.stream().allMatch(edit -> concernsEntry(edit.path()))
        ? editor.applyToEntries(edits)
        : editor.applyToWhole(edits);
  }

  private static boolean concernsEntry(SettingsPath path) {
    return path.depth() >= 2 && SECTIONS.contains(path.segment(0))
        || path.depth() >= 1 && path.segment(0).equals(ROOT);
  }

  private SettingsTree applyToWhole(List<SettingsEdit> edits) {
    Optional<SettingsNode> node = Optional.of(TreeWriter.write(tree));
    for (SettingsEdit edit : edits) {
      node = NodeEditor.apply(node, 0, edit, problems);
    }
    return problems.isEmpty()
        ? TreeReader.read(node.orElse(SettingsNode.Branch.EMPTY), problems)
        : tree;
  }

  private SettingsTree applyToEntries(List<SettingsEdit> edits) {
    for (SettingsEdit edit : edits) {
      int depth = edit.path().segment(0).equals(ROOT) ? 1 : 2;
      SettingsPath entry = edit.path().prefix(depth);
      Optional<SettingsNode> node = touched.computeIfAbsent(entry, this::current);
      touched.put(entry, NodeEditor.apply(node, depth, edit, problems));
    }
    return problems.isEmpty() ? build() : tree;
  }

  private Optional<SettingsNode> current(SettingsPath entry) {
    return entry.depth() == 1
        ? TreeWriter.root(tree)
        : TreeWriter.entry(tree, entry.segment(0), entry.segment(1));
  }

  private SettingsTree build() {
    TreeReader reader = new TreeReader(problems);
    SettingsValues root =
        touched.containsKey(SettingsPath.of(ROOT))
            ? touched.get(SettingsPath.of(ROOT)).map(reader::readRoot).orElse(SettingsValues.NONE)
            : tree.root();
    NameTable<CustomerSettings> customers =
        section("customers", tree.customers(), reader::readCustomer);
    SettingsTree changed =
        new SettingsTree(
            root,
            section("kinds", tree.kinds(), reader::readKind),
            customers,
            section("models", tree.models(), reader::readModel),
            section("services", tree.services(), reader::readService),
            section("servers", tree.servers(), reader::readServer),
            apiKeys(customers));
    TreeChecks.checkShared(changed, problems);
    TreeChecks.checkCustomers(changed, customersToCheck(changed), problems);
    return changed;
  }

  private <V> NameTable<V> section(
      String name, NameTable<V> table, BiFunction<SettingsPath, SettingsNode, V> reader) {
    NameTable<V> changed = table;
    for (Map.Entry<SettingsPath, Optional<SettingsNode>> entry : touched.entrySet()) {
      SettingsPath path = entry.getKey();
      if (!path.segment(0).equals(name)) {
        continue;
      }
      BranchReader.checkName(path, path.segment(1), problems);
      changed =
          entry.getValue().isPresent()
              ? changed.with(path.segment(1), reader.apply(path, entry.getValue().get()))
              : changed.without(path.segment(1));
    }
    return changed;
  }

  private ApiKeyIndex apiKeys(NameTable<CustomerSettings> customers) {
    Map<String, List<ApiKey>> changed = new HashMap<>();
    for (String name : touchedCustomers()) {
      List<ApiKey> before = keys(tree.customers(), name);
      List<ApiKey> after = keys(customers, name);
      if (!before.equals(after)) {
        changed.put(name, after);
      }
    }
    return tree.apiKeys().with(changed, problems);
  }

  private static List<ApiKey> keys(NameTable<CustomerSettings> customers, String name) {
    return customers.find(name).map(CustomerSettings::apiKeys).orElse(List.of());
  }

  private List<String> touchedCustomers() {
    List<String> names = new ArrayList<>();
    for (SettingsPath path : touched.keySet()) {
      if (path.segment(0).equals("customers")) {
        names.add(path.segment(1));
      }
    }
    return names;
  }

  /** A kind that is gone may be refined by any customer. */
  private List<String> customersToCheck(SettingsTree changed) {
    boolean kindGone = !changed.kinds().names().containsAll(tree.kinds().names());
    return kindGone ? changed.customers().names() : touchedCustomers();
  }
}

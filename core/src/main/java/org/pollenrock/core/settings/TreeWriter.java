package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/** Turns typed settings into plain text, lists and branches; the opposite of {@link TreeReader}. */
public final class TreeWriter {
  private TreeWriter() {}

  /**
   * Writes a tree. Sections without entries are left out.
   *
   * @param tree the settings
   * @return a branch that {@link TreeReader#read} reads back as an equal tree
   */
  public static SettingsNode.Branch write(SettingsTree tree) {
    TreeMap<String, SettingsNode> sections = new TreeMap<>();
    if (!tree.root().isEmpty()) {
      sections.put("root", values(tree.root()));
    }
    putTable(sections, "kinds", tree.kinds(), TreeWriter::kind);
    putTable(sections, "customers", tree.customers(), TreeWriter::customer);
    putTable(sections, "models", tree.models(), TreeWriter::model);
    putTable(sections, "services", tree.services(), TreeWriter::service);
    putTable(sections, "servers", tree.servers(), TreeWriter::server);
    return branch(sections);
  }

  /** Writes the root values, when there are any. */
  static Optional<SettingsNode> root(SettingsTree tree) {
    return tree.root().isEmpty() ? Optional.empty() : Optional.of(values(tree.root()));
  }

  /** Writes one entry of a section, when the tree has it. */
  static Optional<SettingsNode> entry(SettingsTree tree, String section, String name) {
    return switch (section) {
      case "kinds" -> tree.kinds().find(name).map(TreeWriter::kind);
      case "customers" -> tree.customers().find(name).map(TreeWriter::customer);
      case "models" -> tree.models().find(name).map(TreeWriter::model);
      case "services" -> tree.services().find(name).map(TreeWriter::service);
      case "servers" -> tree.servers().find(name).map(TreeWriter::server);
      default -> throw new IllegalArgumentException("no section " + section);
    };
  }

  private static <V> void putTable(
      TreeMap<String, SettingsNode> entries,
      String name,
      NameTable<V> table,
      Function<V, SettingsNode> writer) {
    if (table.isEmpty()) {
      return;
    }
    TreeMap<String, SettingsNode> written = new TreeMap<>();
    table.forEach((key, value) -> written.put(key, writer.apply(value)));
    entries.put(name, branch(written));
  }

  private static SettingsNode.Branch branch(TreeMap<String, SettingsNode> entries) {
    return new SettingsNode.Branch(NameTable.copyOf(entries));
  }

  private static SettingsNode text(String value) {
    return new SettingsNode.Text(value);
  }

  private static TreeMap<String, SettingsNode> valueEntries(SettingsValues values) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    TreeMap<String, TreeMap<String, SettingsNode>> groups = new TreeMap<>();
    for (SettingKey key : SettingKey.all()) {
      if (values.has(key)) {
        SettingsPath path = key.path();
        String last = path.segment(path.depth() - 1);
        TreeMap<String, SettingsNode> target =
            path.depth() == 1
                ? entries
                : groups.computeIfAbsent(path.segment(0), group -> new TreeMap<>());
        target.put(last, text(key.range().format(values.number(key))));
      }
    }
    groups.forEach((name, group) -> entries.put(name, branch(group)));
    return entries;
  }

  private static SettingsNode values(SettingsValues values) {
    return branch(valueEntries(values));
  }

  private static SettingsNode kind(KindSettings kind) {
    TreeMap<String, SettingsNode> entries = valueEntries(kind.values());
    if (kind.match().conditions() > 0) {
      TreeMap<String, SettingsNode> match = new TreeMap<>();
      putTexts(match, "models", kind.match().models());
      putTexts(match, "services", kind.match().services());
      kind.match()
          .maxTokensAtMost()
          .ifPresent(most -> match.put("max-tokens-at-most", text(Long.toString(most))));
      entries.put("match", branch(match));
    }
    return branch(entries);
  }

  private static void putTexts(
      TreeMap<String, SettingsNode> entries, String name, List<String> texts) {
    if (!texts.isEmpty()) {
      entries.put(name, new SettingsNode.Items(texts.stream().map(TreeWriter::text).toList()));
    }
  }

  private static SettingsNode customer(CustomerSettings customer) {
    TreeMap<String, SettingsNode> entries = valueEntries(customer.values());
    if (!customer.apiKeys().isEmpty()) {
      TreeMap<String, SettingsNode> keys = new TreeMap<>();
      customer.apiKeys().forEach(key -> keys.put(key.hash().toString(), text(key.caller())));
      entries.put("api-keys", branch(keys));
    }
    putTable(entries, "kinds", customer.kinds(), TreeWriter::values);
    putTable(entries, "callers", customer.callers(), TreeWriter::caller);
    return branch(entries);
  }

  private static SettingsNode caller(CallerSettings caller) {
    TreeMap<String, SettingsNode> entries = valueEntries(caller.values());
    putTable(entries, "kinds", caller.kinds(), TreeWriter::values);
    return branch(entries);
  }

  private static SettingsNode model(ModelSettings model) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    entries.put("version", text(model.version().value()));
    putTexts(
        entries, "adapters", model.adapters().stream().map(adapter -> adapter.value()).toList());
    RolloutSettings rollout = model.rollout();
    TreeMap<String, SettingsNode> fields = new TreeMap<>();
    fields.put(
        "max-concurrent-loads",
        text(RolloutSettings.LOADS_RANGE.format(rollout.maxConcurrentLoads())));
    fields.put(
        "min-available", text(RolloutSettings.AVAILABLE_RANGE.format(rollout.minAvailable())));
    fields.put("max-failures", text(RolloutSettings.FAILURES_RANGE.format(rollout.maxFailures())));
    entries.put("rollout", branch(fields));
    return branch(entries);
  }

  private static SettingsNode service(ServiceSettings service) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    entries.put("path", text(service.path()));
    entries.put("backend", text(service.backend()));
    List<SettingsNode> rules = new ArrayList<>();
    for (ServiceRule rule : service.rules()) {
      TreeMap<String, SettingsNode> fields = new TreeMap<>();
      fields.put("method", text(rule.method()));
      fields.put("path", text(rule.path()));
      fields.put("idempotent", text(Boolean.toString(rule.idempotent())));
      rules.add(branch(fields));
    }
    if (!rules.isEmpty()) {
      entries.put("rules", new SettingsNode.Items(rules));
    }
    return branch(entries);
  }

  private static SettingsNode server(ServerSettings server) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    entries.put("checks-fencing", text(Boolean.toString(server.checksFencing())));
    return branch(entries);
  }
}

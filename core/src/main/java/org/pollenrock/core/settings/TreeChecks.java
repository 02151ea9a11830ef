package org.pollenrock.core.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that concern more than one entry of a tree. */
final class TreeChecks {
  private TreeChecks() {}

  /** Checks kinds against models and services, and the services' paths against each other. */
  static void checkShared(SettingsTree tree, ProblemList problems) {
    tree.kinds().forEach((name, kind) -> checkMatch(tree, name, kind.match(), problems));
    Map<String, String> paths = new HashMap<>();
    tree.services()
        .forEach(
            (name, service) -> {
              String other = paths.put(service.path(), name);
              if (other != null) {
                problems.add(
                    SettingsPath.of("services", name, "path"),
                    "service '" + other + "' has the same path");
              }
            });
  }

  private static void checkMatch(
      SettingsTree tree, String kind, KindMatch match, ProblemList problems) {
    SettingsPath path = SettingsPath.of("kinds", kind, "match");
    for (String model : match.models()) {
      checkReference(path.child("models"), "model", model, tree.models(), problems);
    }
    for (String service : match.services()) {
      checkReference(path.child("services"), "service", service, tree.services(), problems);
    }
  }

  /** Checks that customers and their callers refine only kinds that exist. */
  static void checkCustomers(SettingsTree tree, List<String> names, ProblemList problems) {
    for (String name : names) {
      SettingsPath path = SettingsPath.of("customers", name);
      tree.customers()
          .find(name)
          .ifPresent(customer -> checkCustomer(tree, path, customer, problems));
    }
  }

  private static void checkCustomer(
      SettingsTree tree, SettingsPath path, CustomerSettings customer, ProblemList problems) {
    checkKinds(tree, path.child("kinds"), customer.kinds(), problems);
    customer
        .callers()
        .forEach(
            (name, caller) ->
                checkKinds(
                    tree,
                    path.child("callers").child(name).child("kinds"),
                    caller.kinds(),
                    problems));
  }

  private static void checkKinds(
      SettingsTree tree, SettingsPath path, NameTable<SettingsValues> kinds, ProblemList problems) {
    for (String kind : kinds.names()) {
      checkReference(path.child(kind), "kind", kind, tree.kinds(), problems);
    }
  }

  private static void checkReference(
      SettingsPath path, String what, String name, NameTable<?> valid, ProblemList problems) {
    if (!valid.contains(name) && !problems.isFull()) {
      String hint =
          ClosestName.find(name, valid.names())
              .map(closest -> "; did you mean '" + closest + "'?")
              .orElse("");
      problems.add(path, "no " + what + " '" + name + "'" + hint);
    }
  }
}

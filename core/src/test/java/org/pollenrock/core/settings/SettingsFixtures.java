package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.UUID;

/** Trees, changes and logs for tests, drawn from a seed. */
final class SettingsFixtures {
  static final int CUSTOMERS = 4;

  private SettingsFixtures() {}

  static SettingsNode text(String value) {
    return new SettingsNode.Text(value);
  }

  static SettingsNode branch(Object... namesAndNodes) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    for (int i = 0; i < namesAndNodes.length; i += 2) {
      Object node = namesAndNodes[i + 1];
      entries.put(
          (String) namesAndNodes[i],
          node instanceof SettingsNode settings ? settings : text((String) node));
    }
    return new SettingsNode.Branch(NameTable.copyOf(entries));
  }

  static SettingsEdit put(String path, Object value) {
    return new SettingsEdit.Put(
        SettingsPath.parse(path), value instanceof SettingsNode node ? node : text((String) value));
  }

  static SettingsEdit remove(String path) {
    return new SettingsEdit.Remove(SettingsPath.parse(path));
  }

  static SettingsChange change(long id, long base, SettingsEdit... edits) {
    return new SettingsChange(new UUID(0, id), "operator", base, List.of(edits));
  }

  static LogRecord entry(long offset, SettingsChange change) {
    return new LogRecord(offset, offset, SettingsCodec.encode(change));
  }

  static SettingsTree tree(SettingsNode node) {
    ProblemList problems = new ProblemList();
    SettingsTree tree = TreeReader.read(node, problems);
    if (!problems.isEmpty()) {
      throw new IllegalArgumentException(problems.toList().toString());
    }
    return tree;
  }

  static String hash(String key) {
    return ApiKeyHash.ofKey(key).toString();
  }

  /** Two kinds and two customers. */
  static SettingsNode sample() {
    return branch(
        "root",
        branch("weight", "2", "limits", branch("burst", "5")),
        "kinds",
        branch("short", branch("priority", "urgent"), "long", branch("weight", "3")),
        "customers",
        branch(
            "c0",
            branch(
                "callers",
                branch("web", branch("kinds", branch("short", branch("weight", "7")))),
                "api-keys",
                branch(hash("k0"), "web"),
                "kinds",
                branch("short", branch("weight", "5"))),
            "c1",
            branch("weight", "4")));
  }

  /** A log of changes with valid, invalid, conflicting and repeated ones, and corrupt records. */
  static List<LogRecord> randomLog(Random random, int length) {
    List<LogRecord> log = new ArrayList<>();
    log.add(entry(0, change(0, -1, new SettingsEdit.Put(SettingsPath.ROOT, sample()))));
    for (int offset = 1; offset < length; offset++) {
      int roll = random.nextInt(20);
      byte[] data;
      if (roll == 0) {
        data = new byte[random.nextInt(40)];
        random.nextBytes(data);
      } else if (roll < 3) {
        data = log.get(random.nextInt(offset)).data();
      } else {
        data = SettingsCodec.encode(randomChange(random, offset));
      }
      log.add(new LogRecord(offset, offset, data));
    }
    return log;
  }

  private static SettingsChange randomChange(Random random, int offset) {
    SettingsEdit[] edits = new SettingsEdit[1 + random.nextInt(3)];
    for (int i = 0; i < edits.length; i++) {
      edits[i] = randomEdit(random);
    }
    long base = Math.max(-1, offset - 1 - random.nextInt(6));
    return change(random.nextInt(4) == 0 ? random.nextInt(30) : 1_000 + offset, base, edits);
  }

  private static SettingsEdit randomEdit(Random random) {
    String customer = "customers/c" + random.nextInt(CUSTOMERS);
    String number = Integer.toString(1 + random.nextInt(9));
    return switch (random.nextInt(16)) {
      case 0 -> put(customer, branch("weight", number));
      case 1 -> remove(customer);
      case 2, 3 -> put(customer + "/weight", number);
      case 4 -> put(customer + "/limits/burst", number);
      case 5 -> put(customer + "/kinds/short/weight", number);
      case 6 -> put(customer + "/callers/web", branch("weight", number));
      case 7 -> put(customer + "/callers/web/kinds/long/priority", "batch");
      case 8 -> put(customer + "/api-keys/" + hash("k" + random.nextInt(3)), "web");
      case 9 -> put("root/limits", branch("burst", number));
      case 10 -> remove("root/weight");
      case 11 -> put("kinds/extra", branch("weight", number));
      case 12 -> remove("kinds/" + (random.nextBoolean() ? "extra" : "long"));
      case 13 -> put("servers/s" + number, branch("checks-fencing", "true"));
      case 14 -> put(customer + "/wieght", number);
      default -> put("customers", branch("c0", branch("weight", number)));
    };
  }

  private static final List<String> WORDS =
      List.of(
          "root",
          "kinds",
          "customers",
          "callers",
          "models",
          "services",
          "servers",
          "limits",
          "burst",
          "weight",
          "match",
          "api-keys",
          "rules",
          "path",
          "version",
          "rollout",
          "retry",
          "backoff-max",
          "c0",
          "web",
          "short",
          "",
          "/",
          "0",
          "1ms",
          "urgent",
          "*",
          "\u0000",
          "true");

  private static String word(Random random) {
    return WORDS.get(random.nextInt(WORDS.size()));
  }

  /** A change of schema words in any arrangement, such as a faulty tool could append. */
  static SettingsChange arbitraryChange(Random random, long base) {
    SettingsEdit[] edits = new SettingsEdit[1 + random.nextInt(4)];
    for (int i = 0; i < edits.length; i++) {
      List<String> segments = new ArrayList<>();
      int depth = random.nextInt(random.nextInt(8) + 1);
      for (int j = 0; j < depth; j++) {
        segments.add(word(random));
      }
      SettingsPath path = new SettingsPath(segments);
      edits[i] =
          random.nextInt(4) == 0
              ? new SettingsEdit.Remove(path)
              : new SettingsEdit.Put(path, arbitraryNode(random, 4));
    }
    return change(random.nextLong(), base, edits);
  }

  private static SettingsNode arbitraryNode(Random random, int depth) {
    int roll = depth == 0 ? 0 : random.nextInt(4);
    if (roll < 2) {
      return text(word(random));
    }
    List<SettingsNode> nodes = new ArrayList<>();
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    int size = random.nextInt(4);
    for (int i = 0; i < size; i++) {
      nodes.add(arbitraryNode(random, depth - 1));
      entries.put(word(random), nodes.getLast());
    }
    return roll == 2
        ? new SettingsNode.Items(nodes)
        : new SettingsNode.Branch(NameTable.copyOf(entries));
  }

  /** Cuts a log into batches of random lengths. */
  static List<LogBatch> cut(List<LogRecord> log, Random random) {
    List<LogBatch> batches = new ArrayList<>();
    int from = 0;
    while (from < log.size()) {
      int to = Math.min(log.size(), from + 1 + random.nextInt(7));
      batches.add(new LogBatch(from, to, log.subList(from, to)));
      from = to;
    }
    return batches;
  }

  static SettingsHistory read(List<LogRecord> log) {
    SettingsHistory history = new SettingsHistory();
    history.apply(new LogBatch(0, log.size(), log));
    return history;
  }

  /** All that acceptance depends on, in a comparable form. */
  static Map<String, Object> state(SettingsHistory history) {
    return state(history.snapshot());
  }

  static Map<String, Object> state(SettingsSnapshot snapshot) {
    return Map.of(
        "next", snapshot.next(),
        "revision", snapshot.revision(),
        "tree", snapshot.tree(),
        "digest", snapshot.digest(),
        "outcomes", snapshot.outcomes(),
        "paths", snapshot.pathRevisions());
  }
}

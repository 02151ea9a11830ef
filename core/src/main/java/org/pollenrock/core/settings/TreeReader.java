package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Checks plain settings against the schema and builds the typed tree.
 *
 * <p>Equal values and texts are shared: most of 10,000 customers differ only in their names and API
 * keys.
 */
public final class TreeReader {
  private static final Pattern SERVICE_PATH = Pattern.compile("(/[A-Za-z0-9._~-]+){1,8}");
  private static final Pattern RULE_PATH =
      Pattern.compile("/|(/([A-Za-z0-9._~-]+|\\*)){1,16}(/\\*\\*)?|/\\*\\*");
  private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{3,10}");
  private static final ValueRange MAX_TOKENS = ValueRange.of(ValueType.COUNT, "1", "10000000");
  private static final ValueRange FLAG = ValueRange.of(ValueType.FLAG, "false", "true");

  private final ProblemList problems;
  private final Map<Object, Object> shared = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param problems receives what is wrong
   */
  TreeReader(ProblemList problems) {
    this.problems = Objects.requireNonNull(problems, "problems");
  }

  /**
   * Reads a whole tree.
   *
   * @param node the plain settings
   * @param problems receives what is wrong; the result is to be used only when there is nothing
   * @return the tree
   */
  public static SettingsTree read(SettingsNode node, ProblemList problems) {
    return new TreeReader(problems).readTree(node);
  }

  private SettingsTree readTree(SettingsNode node) {
    BranchReader reader = new BranchReader(SettingsPath.ROOT, node, problems);
    SettingsValues root = reader.find("root").map(this::readRoot).orElse(SettingsValues.NONE);
    NameTable<KindSettings> kinds = reader.table("kinds", this::readKind);
    NameTable<CustomerSettings> customers = reader.table("customers", this::readCustomer);
    NameTable<ModelSettings> models = reader.table("models", this::readModel);
    NameTable<ServiceSettings> services = reader.table("services", this::readService);
    NameTable<ServerSettings> servers = reader.table("servers", this::readServer);
    reader.finish();
    ApiKeyIndex apiKeys = ApiKeyIndex.of(customers, problems);
    SettingsTree tree =
        new SettingsTree(root, kinds, customers, models, services, servers, apiKeys);
    TreeChecks.checkShared(tree, problems);
    TreeChecks.checkCustomers(tree, customers.names(), problems);
    return tree;
  }

  SettingsValues readRoot(SettingsNode node) {
    return readBranch(SettingsPath.of("root"), node);
  }

  private SettingsValues readBranch(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    SettingsValues values = readValues(reader);
    reader.finish();
    return values;
  }

  private SettingsValues readValues(BranchReader reader) {
    Map<SettingKey, Long> values = new EnumMap<>(SettingKey.class);
    Map<String, BranchReader> groups = new HashMap<>();
    for (String group : SettingKey.groups()) {
      reader.branch(group).ifPresent(found -> groups.put(group, found));
    }
    for (SettingKey key : SettingKey.all()) {
      int last = key.path().depth() - 1;
      BranchReader holder = last == 0 ? reader : groups.get(key.path().segment(0));
      if (holder != null) {
        holder
            .number(key.path().segment(last), key.range())
            .ifPresent(number -> values.put(key, number));
      }
    }
    groups.values().forEach(BranchReader::finish);
    Long base = values.get(SettingKey.RETRY_BACKOFF_BASE);
    Long max = values.get(SettingKey.RETRY_BACKOFF_MAX);
    if (base != null && max != null && base > max) {
      reader.problem("retry", "backoff-base is above backoff-max");
    }
    return share(SettingsValues.of(values));
  }

  @SuppressWarnings("unchecked") // The map returns the first object that equals the value.
  private <T> T share(T value) {
    return (T) shared.computeIfAbsent(value, same -> same);
  }

  KindSettings readKind(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    KindMatch match = reader.branch("match").map(this::readMatch).orElse(KindMatch.NEVER);
    SettingsValues values = readValues(reader);
    reader.finish();
    return new KindSettings(match, values);
  }

  private KindMatch readMatch(BranchReader reader) {
    List<String> models = reader.texts("models");
    List<String> services = reader.texts("services");
    OptionalLong most = reader.number("max-tokens-at-most", MAX_TOKENS);
    reader.finish();
    return new KindMatch(models, services, most);
  }

  CustomerSettings readCustomer(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    SettingsValues values = readValues(reader);
    NameTable<CallerSettings> callers = reader.table("callers", this::readCaller);
    NameTable<SettingsValues> kinds = reader.table("kinds", this::readBranch);
    List<ApiKey> apiKeys = readApiKeys(reader, callers);
    reader.finish();
    return new CustomerSettings(values, apiKeys, share(kinds), share(callers));
  }

  private List<ApiKey> readApiKeys(BranchReader reader, NameTable<CallerSettings> callers) {
    Optional<BranchReader> keys = reader.branch("api-keys");
    if (keys.isEmpty()) {
      return List.of();
    }
    List<ApiKey> apiKeys = new ArrayList<>();
    for (String name : keys.get().names()) {
      Optional<String> caller = keys.get().text(name);
      Optional<ApiKeyHash> hash = ApiKeyHash.parse(name);
      if (hash.isEmpty()) {
        keys.get().problem(name, "expected a SHA-256 of 64 lower-case hexadecimal digits");
      }
      if (caller.isPresent() && !callers.contains(caller.get()) && !problems.isFull()) {
        keys.get().problem(name, "no caller '" + caller.get() + "'" + hint(caller.get(), callers));
      }
      if (hash.isPresent() && caller.isPresent()) {
        apiKeys.add(new ApiKey(hash.get(), share(caller.get())));
      }
    }
    apiKeys.sort((left, right) -> left.hash().compareTo(right.hash()));
    return apiKeys;
  }

  private static String hint(String name, NameTable<?> valid) {
    return ClosestName.find(name, valid.names())
        .map(closest -> "; did you mean '" + closest + "'?")
        .orElse("");
  }

  private CallerSettings readCaller(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    SettingsValues values = readValues(reader);
    NameTable<SettingsValues> kinds = reader.table("kinds", this::readBranch);
    reader.finish();
    return share(new CallerSettings(values, share(kinds)));
  }

  ModelSettings readModel(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    String version = reader.requiredText("version").orElse("missing");
    List<AdapterId> adapters = reader.texts("adapters").stream().map(AdapterId::new).toList();
    if (new HashSet<>(adapters).size() < adapters.size()) {
      reader.problem("adapters", "an adapter is listed twice");
    }
    RolloutSettings rollout =
        reader.branch("rollout").map(this::readRollout).orElse(RolloutSettings.DEFAULT);
    reader.finish();
    return new ModelSettings(new WeightsVersion(version), adapters, rollout);
  }

  private RolloutSettings readRollout(BranchReader reader) {
    RolloutSettings absent = RolloutSettings.DEFAULT;
    RolloutSettings rollout =
        new RolloutSettings(
            reader.number(
                "max-concurrent-loads", RolloutSettings.LOADS_RANGE, absent.maxConcurrentLoads()),
            reader.number("min-available", RolloutSettings.AVAILABLE_RANGE, absent.minAvailable()),
            reader.number("max-failures", RolloutSettings.FAILURES_RANGE, absent.maxFailures()));
    reader.finish();
    return rollout;
  }

  ServiceSettings readService(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    String prefix = reader.requiredText("path").orElse("/missing");
    if (!SERVICE_PATH.matcher(prefix).matches()) {
      reader.problem("path", "expected a path such as /ledger without a slash at its end");
    }
    String backend = reader.requiredText("backend").orElse("missing");
    List<ServiceRule> rules = reader.branches("rules").stream().map(this::readRule).toList();
    reader.finish();
    return new ServiceSettings(prefix, backend, rules);
  }

  private ServiceRule readRule(BranchReader reader) {
    String method = reader.requiredText("method").orElse("*");
    if (!METHOD.matcher(method).matches()) {
      reader.problem("method", "expected an HTTP method in capitals or '*'");
    }
    String pattern = reader.requiredText("path").orElse("/");
    if (!RULE_PATH.matcher(pattern).matches()) {
      reader.problem("path", "expected a path such as /accounts/*/balance, '**' only at its end");
    }
    reader.requiredText("idempotent");
    boolean idempotent = reader.number("idempotent", FLAG, 0) != 0;
    reader.finish();
    return new ServiceRule(method, pattern, idempotent);
  }

  ServerSettings readServer(SettingsPath path, SettingsNode node) {
    BranchReader reader = new BranchReader(path, node, problems);
    boolean checks = reader.number("checks-fencing", FLAG, 0) != 0;
    reader.finish();
    return new ServerSettings(checks);
  }
}

package org.pollenrock.core.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;

/**
 * Looks for entries of a valid tree that can never have an effect: entries that no request matches,
 * and limits that contradict each other.
 */
public final class TreeReview {
  private static final List<SettingKey> LIMITS =
      List.of(
          SettingKey.REQUESTS_PER_SECOND,
          SettingKey.CONCURRENT_REQUESTS,
          SettingKey.PROMPT_TOKENS_PER_SECOND);

  private final SettingsTree tree;
  private final ProblemList findings = new ProblemList();

  private TreeReview(SettingsTree tree) {
    this.tree = tree;
  }

  /**
   * Reviews a tree.
   *
   * @param tree the tree, which has no errors
   * @return what was found, in the order of the tree; at most {@link ProblemList#MAX_PROBLEMS}
   */
  public static List<SettingsProblem> findings(SettingsTree tree) {
    TreeReview review = new TreeReview(tree);
    review.checkValues(
        SettingsPath.of("root"), Optional.empty(), Optional.empty(), Optional.empty());
    review.tree.kinds().names().forEach(review::checkKind);
    review.tree.customers().forEach(review::checkCustomer);
    review.tree.services().forEach(review::checkRules);
    return review.findings.toList();
  }

  private void checkKind(String name) {
    KindSettings kind = tree.kinds().find(name).orElseThrow();
    SettingsPath path = SettingsPath.of("kinds", name);
    if (!kind.match().models().isEmpty() && !kind.match().services().isEmpty()) {
      findings.add(path.child("match"), "matches nothing: no request is for a model and a service");
    } else {
      coveringKind(name, kind.match())
          .ifPresent(
              other ->
                  findings.add(
                      path.child("match"), "matches nothing: kind '" + other + "' does before"));
    }
    checkValues(path, Optional.empty(), Optional.empty(), Optional.of(new RequestKind(name)));
  }

  /** Returns a kind that is chosen for each request that a match holds for. */
  private Optional<String> coveringKind(String name, KindMatch match) {
    return tree.kinds().names().stream()
        .filter(other -> other.compareTo(name) < 0)
        .filter(other -> covers(tree.kinds().find(other).orElseThrow().match(), match))
        .findFirst();
  }

  /** Only a match with as many conditions can hold for all requests of another and go first. */
  private static boolean covers(KindMatch other, KindMatch match) {
    return match.conditions() > 0
        && other.conditions() == match.conditions()
        && containsAll(other.models(), match.models())
        && containsAll(other.services(), match.services())
        && other.maxTokensAtMost().isPresent() == match.maxTokensAtMost().isPresent()
        && other.maxTokensAtMost().orElse(0) >= match.maxTokensAtMost().orElse(0);
  }

  private static boolean containsAll(List<String> names, List<String> others) {
    return names.isEmpty() == others.isEmpty() && names.containsAll(others);
  }

  private void checkCustomer(String name, CustomerSettings customer) {
    SettingsPath path = SettingsPath.of("customers", name);
    Set<String> identified =
        customer.apiKeys().stream().map(ApiKey::caller).collect(Collectors.toSet());
    if (identified.isEmpty()) {
      findings.add(path, "no request is of this customer: it has no API key");
    }
    Optional<CustomerId> id = Optional.of(new CustomerId(name));
    checkBranch(path, id, Optional.empty(), customer.kinds());
    customer
        .callers()
        .forEach(
            (callerName, caller) -> {
              SettingsPath callerPath = path.child("callers").child(callerName);
              if (!identified.isEmpty() && !identified.contains(callerName)) {
                findings.add(callerPath, "no request is of this caller: no API key names it");
              }
              checkBranch(callerPath, id, Optional.of(new CallerId(callerName)), caller.kinds());
            });
  }

  private void checkBranch(
      SettingsPath path,
      Optional<CustomerId> customer,
      Optional<CallerId> caller,
      NameTable<SettingsValues> kinds) {
    checkValues(path, customer, caller, Optional.empty());
    kinds
        .names()
        .forEach(
            kind ->
                checkValues(
                    path.child("kinds").child(kind),
                    customer,
                    caller,
                    Optional.of(new RequestKind(kind))));
  }

  /** Checks the values that hold at a branch, of which at least one is set there. */
  private void checkValues(
      SettingsPath path,
      Optional<CustomerId> customer,
      Optional<CallerId> caller,
      Optional<RequestKind> kind) {
    EffectiveSettings values = EffectiveSettings.resolve(tree, customer, caller, kind);
    if (customer.isPresent()) {
      checkLimits(path, values, customer);
    }
    if (isSetAt(path, values, SettingKey.BURST)
        && values.limit(SettingKey.REQUESTS_PER_SECOND).isEmpty()) {
      findings.add(keyPath(path, SettingKey.BURST), "has no effect: the rate is unlimited");
    }
    checkRetry(path, values);
  }

  /** A request is charged to the limits of its customer too, so that no higher ones are reached. */
  private void checkLimits(
      SettingsPath path, EffectiveSettings values, Optional<CustomerId> customer) {
    EffectiveSettings ofCustomer =
        EffectiveSettings.resolve(tree, customer, Optional.empty(), Optional.empty());
    for (SettingKey key : LIMITS) {
      boolean higher =
          ofCustomer.limit(key).isPresent()
              && values.limit(key).orElse(Long.MAX_VALUE) > ofCustomer.number(key);
      if (higher && isSetAt(path, values, key)) {
        findings.add(
            keyPath(path, key),
            values.text(key)
                + " is never reached: all of the customer has "
                + ofCustomer.text(key));
      }
    }
  }

  private void checkRetry(SettingsPath path, EffectiveSettings values) {
    boolean setHere =
        isSetAt(path, values, SettingKey.RETRY_BACKOFF_BASE)
            || isSetAt(path, values, SettingKey.DEADLINE);
    if (setHere
        && values.number(SettingKey.RETRY_ATTEMPTS) > 1
        && values.number(SettingKey.RETRY_BACKOFF_BASE) >= values.deadlineNanos()) {
      findings.add(
          keyPath(path, SettingKey.DEADLINE),
          values.text(SettingKey.DEADLINE)
              + " leaves no time for a retry after backoff-base "
              + values.text(SettingKey.RETRY_BACKOFF_BASE));
    }
  }

  private void checkRules(String name, ServiceSettings service) {
    List<ServiceRule> rules = service.rules();
    for (int later = 1; later < rules.size(); later++) {
      for (int earlier = 0; earlier < later; earlier++) {
        if (covers(rules.get(earlier), rules.get(later))) {
          findings.add(
              SettingsPath.of("services", name, "rules"),
              "rule " + (later + 1) + " matches nothing: rule " + (earlier + 1) + " does before");
          break;
        }
      }
    }
  }

  /** Returns whether a rule matches all calls of another one. May miss some patterns that do. */
  private static boolean covers(ServiceRule rule, ServiceRule other) {
    boolean method = rule.method().equals("*") || rule.method().equals(other.method());
    boolean path = rule.path().equals("/**") || rule.path().equals(other.path());
    return method && path;
  }

  private static boolean isSetAt(SettingsPath path, EffectiveSettings values, SettingKey key) {
    return values.source(key).filter(path::equals).isPresent();
  }

  private static SettingsPath keyPath(SettingsPath branch, SettingKey key) {
    SettingsPath path = branch;
    for (String segment : key.path().segments()) {
      path = path.child(segment);
    }
    return path;
  }
}

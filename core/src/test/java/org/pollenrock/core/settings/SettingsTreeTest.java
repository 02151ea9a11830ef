package org.pollenrock.core.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.settings.SettingsFixtures.branch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.RequestKind;

class SettingsTreeTest {
  private static final RequestKind SHORT = new RequestKind("short");

  private static EffectiveSettings resolve(String customer, String caller) {
    return EffectiveSettings.resolve(
        SettingsFixtures.tree(SettingsFixtures.sample()),
        Optional.of(new CustomerId(customer)),
        Optional.of(new CallerId(caller)),
        Optional.of(SHORT));
  }

  /** Guards against a value of an ancestor that hides a closer one. */
  @Test
  void closestAncestorWins() {
    EffectiveSettings web = resolve("c0", "web");
    assertThat(web.weight()).isEqualTo(7);
    assertThat(web.source(SettingKey.WEIGHT))
        .contains(SettingsPath.parse("customers/c0/callers/web/kinds/short"));
    EffectiveSettings other = resolve("c0", "other");
    assertThat(other.weight()).isEqualTo(5);
    assertThat(other.level(SettingKey.WEIGHT)).isEqualTo(ValueLevel.CUSTOMER_KIND);
    assertThat(other.priority()).isEqualTo(Priority.URGENT);
    assertThat(other.source(SettingKey.BURST)).contains(SettingsPath.of("root"));
    assertThat(other.source(SettingKey.DEADLINE)).isEmpty();
  }

  /** Guards against a precedence of levels other than the documented one. */
  @Property(seed = "7106", tries = 500, shrinking = ShrinkingMode.FULL)
  void effectiveValueEqualsTheLastLevelThatSetsIt(@ForAll long seed) {
    Random random = new Random(seed);
    String[] weights = new String[6];
    String expected = "1";
    for (int i = 0; i < weights.length; i++) {
      weights[i] = random.nextBoolean() ? Integer.toString(10 + i) : null;
      expected = weights[i] != null ? weights[i] : expected;
    }
    SettingsNode caller = branch("kinds", branch("short", weight(weights[5], branch())));
    SettingsNode customer =
        branch(
            "kinds",
            branch("short", weight(weights[3], branch())),
            "callers",
            branch("web", weight(weights[4], caller)));
    SettingsTree tree =
        SettingsFixtures.tree(
            branch(
                "root",
                weight(weights[0], branch()),
                "kinds",
                branch("short", weight(weights[1], branch())),
                "customers",
                branch("c0", weight(weights[2], customer))));
    EffectiveSettings effective =
        EffectiveSettings.resolve(
            tree,
            Optional.of(new CustomerId("c0")),
            Optional.of(new CallerId("web")),
            Optional.of(SHORT));
    assertThat(effective.text(SettingKey.WEIGHT)).isEqualTo(expected);
  }

  private static SettingsNode weight(String value, SettingsNode node) {
    NameTable<SettingsNode> entries = ((SettingsNode.Branch) node).entries();
    return value == null
        ? node
        : new SettingsNode.Branch(entries.with("weight", SettingsFixtures.text(value)));
  }

  /** Guards against a request that lands in a kind by chance of order. */
  @Test
  void headerThenMostConditionsDecideTheKind() {
    SettingsTree tree =
        SettingsFixtures.tree(
            branch(
                "models",
                branch("large", branch("version", "v1")),
                "kinds",
                branch(
                    "any-large",
                    branch("match", branch("models", "large")),
                    "verdict",
                    branch("match", branch("models", "large", "max-tokens-at-most", "16")),
                    "named",
                    branch())));
    assertThat(kind(tree, Optional.of("named"), 16)).contains(new RequestKind("named"));
    assertThat(kind(tree, Optional.of("absent"), 16)).contains(new RequestKind("verdict"));
    assertThat(kind(tree, Optional.empty(), 17)).contains(new RequestKind("any-large"));
  }

  private static Optional<RequestKind> kind(
      SettingsTree tree, Optional<String> header, long maxTokens) {
    return tree.kindOf(
        new RequestTraits(
            header, Optional.of("large"), Optional.empty(), OptionalLong.of(maxTokens)));
  }

  /** Guards against a call that is repeated although no rule permits it. */
  @Test
  void callWithoutRuleIsNotIdempotent() {
    ServiceSettings ledger =
        new ServiceSettings(
            "/ledger",
            "ledger",
            List.of(
                new ServiceRule("GET", "/accounts/*/balance", true),
                new ServiceRule("GET", "/reports/**", true)));
    assertThat(ledger.idempotent("GET", "/ledger/accounts/7/balance")).isTrue();
    assertThat(ledger.idempotent("GET", "/ledger/reports/a/b")).isTrue();
    assertThat(ledger.idempotent("POST", "/ledger/accounts/7/balance")).isFalse();
    assertThat(ledger.idempotent("GET", "/ledger/accounts/7/x/balance")).isFalse();
    assertThat(ledger.idempotent("GET", "/ledger")).isFalse();
    assertThat(ledger.serves("/ledgers")).isFalse();
  }

  /** Guards against values that change when they are written and read again. */
  @Property(seed = "7107", tries = 500, shrinking = ShrinkingMode.FULL)
  void writtenValuesReadBack(@ForAll long seed) {
    Random random = new Random(seed);
    for (SettingKey key : SettingKey.all()) {
      ValueRange range = key.range();
      long value = random.nextLong(range.min(), range.max() + 1);
      ProblemList problems = new ProblemList();
      assertThat(range.parse(key.path(), range.format(value), problems)).hasValue(value);
    }
  }

  /** Guards against a name that a path cannot address. */
  @Test
  void nameWithSlashIsRefused() {
    ProblemList problems = new ProblemList();
    TreeReader.read(branch("customers", branch("a/b", branch())), problems);
    assertThat(problems.toList()).hasSize(1);
  }
}

package org.pollenrock.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.core.settings.ApiKeyHash;
import org.pollenrock.core.settings.ApiKeyOwner;
import org.pollenrock.core.settings.SettingKey;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.ValueRange;
import org.pollenrock.core.settings.ValueType;

/** Guards against examples and pages that no longer fit the schema. */
class ExamplesTest {
  private static SettingsTree tree(String deployment) {
    String name = deployment + "/settings.yaml";
    return SettingsReader.readTree(name, Examples.read(name)).orElseThrow();
  }

  @ParameterizedTest
  @CsvSource({"chama, 8, 2, 4", "directorate, 13, 3, 5"})
  void examplesHaveTheSizesOfTheDeployment(
      String deployment, int servers, long loads, int routers) {
    SettingsTree tree = tree(deployment);
    assertThat(tree.customers().size()).isEqualTo(8);
    assertThat(tree.servers().size()).isEqualTo(servers);
    assertThat(tree.models().values())
        .allMatch(model -> model.rollout().maxConcurrentLoads() == loads);
    Set<HostPort> addresses = new HashSet<>();
    List<String> files = Examples.routers(deployment);
    assertThat(files).hasSize(routers);
    for (String file : files) {
      ListenSettings listen =
          SettingsReader.readProcess(file, Examples.read(file)).orElseThrow().listen();
      addresses.addAll(List.of(listen.callers(), listen.operators(), listen.peers()));
    }
    assertThat(addresses).hasSize(3 * routers);
  }

  @Test
  void readmeStatesTheKeyOfEveryCaller() {
    String row = "\\| (\\S+) \\| (\\S+) \\| (\\S+) \\| `(\\S+)` \\|";
    Matcher matcher = Pattern.compile(row).matcher(Examples.read("README.md"));
    int keys = 0;
    while (matcher.find()) {
      ApiKeyOwner owner =
          tree(matcher.group(1)).ownerOf(ApiKeyHash.ofKey(matcher.group(4))).orElseThrow();
      assertThat(owner.customer().value()).isEqualTo(matcher.group(2));
      assertThat(owner.caller().value()).isEqualTo(matcher.group(3));
      keys++;
    }
    assertThat(keys)
        .isEqualTo(tree("chama").apiKeys().size() + tree("directorate").apiKeys().size());
  }

  /** Guards against a key of the schema without documentation. */
  @Test
  void settingsPageHasEveryKey() {
    String page = Examples.settingsPage();
    for (SettingKey key : SettingKey.all()) {
      assertRow(page, key.path(), key.range(), key.defaultValue());
    }
    for (ProcessKey key : ProcessKey.values()) {
      assertThat(page).contains("| `" + key.path() + "` |");
      key.range().ifPresent(range -> assertRow(page, key.path(), range, key.defaultValue()));
    }
    for (String deployment : List.of("chama", "directorate")) {
      assertKeysOnPage(page, SettingsWriter.json(tree(deployment)).toString());
    }
  }

  private static void assertRow(
      String page, SettingsPath path, ValueRange range, long defaultValue) {
    boolean closed = range.type() == ValueType.PRIORITY || range.type() == ValueType.FLAG;
    String rangeText = closed ? "" : range.rangeText();
    assertThat(page.lines())
        .as("row of %s", path)
        .anyMatch(
            row ->
                row.startsWith("| `" + path + "` |")
                    && row.contains("| `" + range.format(defaultValue) + "` | " + rangeText));
  }

  private static void assertKeysOnPage(String page, String json) {
    Matcher matcher = Pattern.compile("\"([a-z-]+)\":").matcher(json);
    Set<String> names = new HashSet<>();
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    names.removeAll(operatorNames());
    assertThat(names).allMatch(page::contains);
  }

  private static Set<String> operatorNames() {
    Set<String> names = new HashSet<>();
    for (String deployment : List.of("chama", "directorate")) {
      SettingsTree tree = tree(deployment);
      names.addAll(tree.customers().names());
      names.addAll(tree.kinds().names());
      names.addAll(tree.services().names());
      tree.customers().values().forEach(customer -> names.addAll(customer.callers().names()));
    }
    return names;
  }

  /** Guards against process settings that the readme's reader would misspell. */
  @ParameterizedTest
  @ValueSource(strings = {"chama", "directorate"})
  void everyProcessKeyIsInTheExamples(String deployment) {
    String file = Examples.routers(deployment).getFirst();
    String text = Examples.read(file);
    assertThat(SettingsReader.readNode(file, text).orElseThrow())
        .isInstanceOf(SettingsNode.Branch.class);
    for (ProcessKey key : ProcessKey.values()) {
      assertThat(text).contains(key.path().segment(key.path().depth() - 1) + ":");
    }
  }
}

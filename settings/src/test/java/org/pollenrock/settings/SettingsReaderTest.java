package org.pollenrock.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
  private static final String PROCESS =
      """
      instance: r1
      data-centre: kurasini
      listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "[::1]:3"}
      log: {address: "127.0.0.1:4"}
      list: {address: "127.0.0.1:5"}
      """;

  private static List<String> errors(ReadResult<?> result) {
    return result instanceof ReadResult.Invalid<?>(List<SettingsError> errors)
        ? errors.stream().map(SettingsError::toString).toList()
        : List.of();
  }

  /** Guards against errors that an operator cannot find in the file. */
  @Test
  void everyErrorHasFileLineColumnAndPath() {
    String text =
        """
        root:
          wieght: 2
          deadline: 5
          limits:
            burst: 0
        customers:
          a:
            priority: soon
            callers: {web: {}}
            api-keys: {abc: wep}
          a: {}
        """;
    assertThat(errors(SettingsReader.readTree("f.yaml", text)))
        .containsExactly("f.yaml:11:3: customers/a: duplicate key, first used on line 7");
    String single = text.replace("  a: {}\n", "");
    assertThat(errors(SettingsReader.readTree("f.yaml", single)))
        .containsExactly(
            "f.yaml:5:5: root/limits/burst: 0 is outside the range 1 to 1000000",
            "f.yaml:3:3: root/deadline: expected a duration with a unit (ns, us, ms, s, m, h, d),"
                + " found '5'",
            "f.yaml:2:3: root/wieght: unknown key 'wieght'; did you mean 'weight'?",
            "f.yaml:8:5: customers/a/priority: expected one of urgent, interactive, batch, found"
                + " 'soon'",
            "f.yaml:10:16: customers/a/api-keys/abc: expected a SHA-256 of 64 lower-case"
                + " hexadecimal digits",
            "f.yaml:10:16: customers/a/api-keys/abc: no caller 'wep'; did you mean 'web'?");
  }

  /** Guards against malformed documents that pass or are reported without a place. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "root: [1|f.yaml:2:1: malformed YAML: expected ',' or ']', but got <stream end>",
        "root:|f.yaml:1:6: root: the value is missing; write {} for no entries",
        "root: !!java.net.URL x|f.yaml:1:7: malformed YAML: Global tag is not allowed:"
            + " tag:yaml.org,2002:java.net.URL",
        "root: !x y|f.yaml:1:7: root: the tag !x is not permitted",
        "[a]|f.yaml:1:1: expected named entries",
        "? [a]~: b|f.yaml:1:3: a key is a text of 1 to 1024 characters",
        "root: *a|f.yaml:1:7: malformed YAML: found undefined alias a"
      })
  void malformedDocumentIsRefused(String text, String expected) {
    String document = text.replace('~', '\n') + "\n";
    assertThat(errors(SettingsReader.readTree("f.yaml", document))).contains(expected);
  }

  /** Guards against short documents that expand to billions of nodes, and against deep nesting. */
  @Test
  void expansionAndNestingAreBounded() {
    StringBuilder bomb = new StringBuilder("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for (int i = 1; i < 12; i++) {
      String alias = "*a" + (i - 1);
      bomb.append("a%d: &a%d [%s]\n".formatted(i, i, String.join(", ", alias, alias, alias)));
      bomb.append("b%d: [%s]\n".formatted(i, String.join(", ", alias, alias, alias, alias)));
    }
    assertThat(errors(SettingsReader.readTree("f.yaml", bomb.toString()))).hasSize(1);
    assertThat(errors(SettingsReader.readTree("f.yaml", "[".repeat(100_000)))).hasSize(1);
    assertThat(errors(SettingsReader.readTree("f.yaml", "a: &a [*a]"))).isNotEmpty();
  }

  /** Guards against defaults that differ from the documented ones, and against lost values. */
  @Test
  void processSettingsTakeDefaults() {
    ProcessSettings settings = SettingsReader.readProcess("p.yaml", PROCESS).orElseThrow();
    assertThat(settings.listen().peers()).isEqualTo(new HostPort("::1", 3));
    assertThat(settings.log().retentionNanos()).isEqualTo(86_400_000_000_000L);
    assertThat(settings.limits().bodyBytes()).isEqualTo(8 * 1024 * 1024);
    assertThat(settings.kvStore()).isEmpty();
    assertThat(settings.tls()).isEmpty();
    assertThat(settings.randomSeed()).isEmpty();
  }

  /** Guards against a router that starts with an address or key that it ignores. */
  @Test
  void processErrorsAreAllReported() {
    String text =
        PROCESS.replace("127.0.0.1:4", "log.local:4") + "stop: {drain-dealy: 1s}\ntls: {}";
    assertThat(errors(SettingsReader.readProcess("p.yaml", text)))
        .containsExactlyInAnyOrder(
            "p.yaml:4:7: log/address: expected an IP address and port such as 127.0.0.1:7400",
            "p.yaml:6:8: stop/drain-dealy: unknown key 'drain-dealy'; did you mean 'drain-delay'?",
            "p.yaml:7:1: tls: entry 'certificate' is missing",
            "p.yaml:7:1: tls: entry 'key' is missing");
  }
}

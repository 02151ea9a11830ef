package org.pollenrock.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsCommandsTest {
  private static final String EXAMPLE = "../examples/chama/settings.yaml";
  private static final String ROUTER = "../examples/chama/router-mbezi-1.yaml";

  private final TestLog log = new TestLog();

  @TempDir private Path directory;

  @AfterEach
  void stop() {
    log.close();
  }

  private Invocation withLog(String... args) {
    String[] all = new String[args.length + 2];
    System.arraycopy(args, 0, all, 0, args.length);
    all[args.length] = "--log";
    all[args.length + 1] = log.address();
    return Invocation.run(all);
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against errors without place, and against a check that always succeeds. */
  @Test
  void checkPrintsEachErrorWithItsPlace() {
    assertThat(Invocation.run("check", EXAMPLE).code()).isZero();
    assertThat(Invocation.run("check", "--process", ROUTER).code()).isZero();
    Path wrong = write("wrong.yaml", "root:\n  wieght: 1\n");
    Invocation checked = Invocation.run("check", "--output", "json", wrong.toString());
    assertThat(checked.code()).isEqualTo(1);
    assertThat(checked.json().at("/errors/0/line").asInt()).isEqualTo(2);
    assertThat(checked.json().at("/errors/0/message").asText()).contains("'weight'");
    assertThat(Invocation.run("check", "absent.yaml").code()).isEqualTo(3);
    assertThat(Invocation.run("check").code()).isEqualTo(2);
  }

  /** Guards against entries without effect that go unnoticed, and against false alarms. */
  @Test
  void reviewPrintsEntriesThatCanNeverTakeEffect() {
    Invocation sound = Invocation.run("review", EXAMPLE, "--file", EXAMPLE);
    assertThat(sound.out()).contains("findings: 0", "in force: 0");
    assertThat(sound.code()).isZero();
    Path reviewed =
        write(
            "reviewed.yaml",
            """
            root:
              retry: {backoff-base: 2s, backoff-max: 2s}
            models:
              m: {version: v1}
            services:
              ledger:
                path: /ledger
                backend: ledger
                rules:
                - {method: "*", path: "/**", idempotent: true}
                - {method: GET, path: /a, idempotent: false}
            kinds:
              first: {match: {models: [m], max-tokens-at-most: 32}}
              later: {match: {models: [m], max-tokens-at-most: 16}}
              larger: {match: {models: [m], max-tokens-at-most: 64}}
              mixed: {match: {models: [m], services: [ledger]}, deadline: 1s}
            customers:
              silent: {limits: {burst: 5}}
              busy:
                limits: {requests-per-second: 5, burst: 9}
                api-keys:
                  "1311f8fc80a7ea28d78dd7723f09c44c1754cd35160ca8e7133ae3d7f636a19a": desk
                callers:
                  desk: {limits: {requests-per-second: 6}}
                  app: {limits: {requests-per-second: 4}}
            """);
    Invocation review =
        Invocation.run("review", "--output=json", reviewed.toString(), "--file", EXAMPLE);
    assertThat(review.code()).isEqualTo(1);
    assertThat(review.json().at("/findings").findValuesAsText("path"))
        .containsExactly(
            "kinds/later/match",
            "kinds/mixed/match",
            "kinds/mixed/deadline",
            "customers/busy/callers/app",
            "customers/busy/callers/desk/limits/requests-per-second",
            "customers/silent",
            "customers/silent/limits/burst",
            "services/ledger/rules");
    assertThat(review.json().at("/edits").findValuesAsText("path")).contains("customers/busy");
    Path wrong = write("wrong.yaml", "root:\n  wieght: 1\n");
    assertThat(Invocation.run("review", wrong.toString(), "--file", EXAMPLE).code()).isEqualTo(1);
    assertThat(Invocation.run("review", EXAMPLE).code()).as("nothing to compare").isEqualTo(2);
    withLog("publish", EXAMPLE);
    assertThat(withLog("review", EXAMPLE).out()).contains("in force: 0");
  }

  /** Guards against a published tree that differs from the file. */
  @Test
  void publishedFileIsInForce() {
    assertThat(withLog("publish", EXAMPLE).out()).contains("accepted as revision 0");
    assertThat(withLog("diff", EXAMPLE).code()).isZero();
    Invocation shown =
        withLog(
            "show", "customers/bahari-fishers/callers/app/kinds/condition-check", "--output=json");
    assertThat(shown.json().at("/values/deadline/value").asText()).isEqualTo("3s");
    assertThat(shown.json().at("/values/deadline/source").asText())
        .isEqualTo("customers/bahari-fishers/kinds/condition-check");
    assertThat(shown.json().at("/values/weight/source").asText())
        .isEqualTo("customers/bahari-fishers");
    Invocation again = withLog("publish", EXAMPLE);
    assertThat(again.code()).as("a file without a base").isEqualTo(2);
    Path written = write("tree.yaml", withLog("show").out());
    assertThat(withLog("publish", written.toString()).out()).contains("no change");
  }

  /** Guards against a file that undoes what another operator changed since it was written. */
  @Test
  void fileChangesOnlyWhatItsAuthorChanged() {
    withLog("publish", EXAMPLE);
    String base = withLog("show").out();
    withLog("publish", "--set", "customers/umoja-women/weight=3");
    Path mine = write("mine.yaml", base.replace("spill-margin: 10ms", "spill-margin: 11ms"));
    assertThat(withLog("publish", mine.toString()).code()).isZero();
    assertThat(withLog("show", "customers/umoja-women").out()).containsPattern("weight +3 ");
    assertThat(withLog("show", "root").out()).contains("11ms");
  }

  /** Guards against the later of two racing operators winning without notice. */
  @Test
  void secondOperatorOnTheSamePathIsRefused() {
    withLog("publish", EXAMPLE);
    assertThat(withLog("publish", "--base", "0", "--set", "root/weight=2").code()).isZero();
    Invocation second =
        withLog("publish", "--base", "0", "--set", "root/weight=3", "--output", "json");
    assertThat(second.code()).isEqualTo(1);
    assertThat(second.json().path("reason").asText()).isEqualTo("conflict");
    Invocation history = withLog("history", "--output", "json");
    assertThat(history.json().path("changes")).hasSize(3);
    assertThat(history.json().at("/changes/2/accepted").asBoolean()).isFalse();
    assertThat(history.json().path("revision").asInt()).isEqualTo(1);
  }

  /** Guards against a change that takes effect twice or is reported as lost. */
  @Test
  void lostResponseAndRepeatedIdAreOneChange() {
    withLog("publish", EXAMPLE);
    String id = new UUID(1, 2).toString();
    log.loseResponses(1);
    Invocation first = withLog("publish", "--id", id, "--set", "root/weight=2");
    assertThat(first.out()).contains("accepted as revision 1");
    withLog("publish", "--set", "root/weight=3");
    Invocation repeated =
        withLog("publish", "--id", id, "--set", "root/weight=2", "--output", "json");
    assertThat(repeated.code()).isZero();
    assertThat(repeated.json().path("repeated").asBoolean()).isTrue();
    assertThat(withLog("show", "root").out()).containsPattern("weight +3 ");
    assertThat(log.size()).isEqualTo(3);
  }

  /** Guards against claiming success or failure when the outcome is not known. */
  @Test
  void unknownOutcomeHasItsOwnExitCodeAndCanBeResolved() {
    log.failReadsAfterAppend();
    String id = new UUID(1, 3).toString();
    String[] command = {"publish", "--id", id, "--set", "root/weight=2", "--wait", "10ms"};
    log.loseResponses(9);
    Invocation unknown = withLog(command);
    assertThat(unknown.code()).isEqualTo(4);
    assertThat(unknown.err()).contains("--id " + id);
    log.repairReads();
    assertThat(withLog("publish", "--id", id, "--set", "root/weight=2").out())
        .contains("accepted as revision 0");
  }

  /** Guards against settings from a log that has lost its beginning. */
  @Test
  void truncatedLogWithoutSnapshotIsAnError() {
    withLog("publish", EXAMPLE);
    withLog("publish", "--set", "root/weight=2");
    log.truncate(1);
    assertThat(withLog("show").code()).isEqualTo(3);
  }

  /** Guards against exit codes that scripts cannot rely on. */
  @Test
  void wrongUseAndUnreachableLogHaveTheirCodes() {
    assertThat(withLog("publish").code()).isEqualTo(2);
    assertThat(withLog("publish", "--set", "a//b=1").code()).isEqualTo(2);
    assertThat(withLog("publish", "--set", "root/weight=2", "--timeout", "5").code()).isEqualTo(2);
    log.close();
    assertThat(withLog("history").code()).isEqualTo(3);
    assertThat(Invocation.run("--help").out()).contains("Exit codes:", "repeat the command");
    assertThat(Invocation.run("generate-completion").out()).contains("pollenrockctl", "--dry-run");
  }

  /** Guards against a dry run that publishes. */
  @Test
  void dryRunPublishesNothing() {
    Invocation dry = withLog("publish", "--dry-run", "--remove", "root", "--set", "root/weight=2");
    assertThat(dry.out()).contains("remove root", "set root/weight = 2", "not published");
    assertThat(log.size()).isZero();
  }
}

package org.pollenrock.bench.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.workload.Prompt;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;
import org.pollenrock.standin.engine.EngineExecution;
import org.pollenrock.standin.service.Execution;

/** Guards against a checker that accepts a bad history: each rule must reject one. */
class HistoryRuleTest {
  private static final long SECOND = 1_000_000_000L;

  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<EngineRun> engineRuns = new ArrayList<>();
  private final List<Execution> postings = new ArrayList<>();
  private final List<ServerDeparture> departures = new ArrayList<>();
  private final List<RevisionSample> revisions = new ArrayList<>();
  private long foreignHits;

  @Test
  void goodHistoryBreaksNoRule() {
    outcomes.add(outcome("k1", Outcome.End.COMPLETED));
    outcomes.add(outcome("k2", Outcome.End.REFUSED_NOT_RUN));
    postings.add(posting("k1"));
    departures.add(new ServerDeparture("engine-1", SECOND));
    engineRuns.add(run("engine-1", 3 * SECOND));
    revisions.add(new RevisionSample("r1", 4, 0));
    revisions.add(new RevisionSample("r2", 3, 0));
    revisions.add(new RevisionSample("r1", 4, SECOND));

    assertThat(HistoryRule.checkAll(history())).isEmpty();
  }

  @Test
  void rejectsSecondRunOfAKey() {
    postings.add(posting("k1"));
    postings.add(posting("k1"));

    assertBreaks(HistoryRule.AT_MOST_ONCE);
  }

  @Test
  void rejectsRefusalOfACallThatRan() {
    outcomes.add(outcome("k1", Outcome.End.REFUSED_NOT_RUN));
    postings.add(posting("k1"));

    assertBreaks(HistoryRule.TRUTHFUL_REFUSAL);
  }

  @Test
  void rejectsAnswerToAnotherRequest() {
    outcomes.add(outcome("", Outcome.End.WRONG));

    assertBreaks(HistoryRule.ANSWER_IDENTITY);
  }

  @Test
  void rejectsStreamThatEndedEarly() {
    outcomes.add(outcome("", Outcome.End.INCOMPLETE));

    assertBreaks(HistoryRule.WHOLE_STREAMS);
  }

  @Test
  void rejectsHitOnBlocksOfAnotherCustomer() {
    foreignHits = 1;

    assertBreaks(HistoryRule.CACHE_IDENTITY);
  }

  @Test
  void rejectsNewWorkOnAServerThatLeftLongAgo() {
    departures.add(new ServerDeparture("engine-1", SECOND));
    engineRuns.add(run("engine-1", 4 * SECOND + 1));

    assertBreaks(HistoryRule.LEAVING_DRAIN);
  }

  @Test
  void rejectsRouterThatWentBackToAnOlderRevision() {
    revisions.add(new RevisionSample("r1", 4, 0));
    revisions.add(new RevisionSample("r1", 3, SECOND));

    assertBreaks(HistoryRule.SETTINGS_DURABILITY);
  }

  private void assertBreaks(HistoryRule rule) {
    assertThat(rule.check(history())).hasSize(1);
    assertThat(HistoryRule.checkAll(history())).hasSize(1);
  }

  private RunHistory history() {
    return new RunHistory(outcomes, engineRuns, postings, foreignHits, departures, revisions);
  }

  private static Outcome outcome(String key, Outcome.End end) {
    TimedRequest request =
        new TimedRequest(1, 0, TrafficKind.REFUND, 0, 0, new Prompt("", "", "{}"), key);
    return new Outcome(request, end, "", 0, -1, SECOND, -1);
  }

  private static Execution posting(String key) {
    return new Execution("ledger-1", "POST", "/postings", key, "r-1-1", "{}");
  }

  private static EngineRun run(String server, long atNanos) {
    EngineExecution execution =
        new EngineExecution(server, "r-1-1", "salt", 1, "v1", 100, 0, List.of(), 0);
    return new EngineRun(execution, 0, atNanos);
  }
}

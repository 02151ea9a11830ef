package org.pollenrock.soak;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.history.HistoryRule;
import org.pollenrock.bench.history.RevisionSample;
import org.pollenrock.bench.history.RunHistory;
import org.pollenrock.bench.history.Violation;
import org.pollenrock.standin.service.Execution;

/** What callers, servers and the run itself saw; checked while it grows. */
final class SoakRecord {
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<Execution> runs = new ArrayList<>();
  private final List<RevisionSample> versions = new ArrayList<>();
  private final List<Violation> seen = new ArrayList<>();

  synchronized void ended(Outcome outcome) {
    outcomes.add(outcome);
  }

  synchronized void ran(Execution execution) {
    runs.add(execution);
  }

  synchronized void inForce(RevisionSample sample) {
    versions.add(sample);
  }

  /** Whether a server has begun to run a request. */
  synchronized boolean hasRun(String attempt) {
    return runs.stream().anyMatch(run -> run.attempt().equals(attempt));
  }

  /** Something that breaks a promise and was seen at once. */
  synchronized void violation(String promise, String detail) {
    seen.add(new Violation(promise, detail));
  }

  /** Checks everything so far. */
  synchronized List<Violation> check() {
    List<Violation> found = new ArrayList<>(seen);
    found.addAll(
        HistoryRule.checkAll(new RunHistory(outcomes, List.of(), runs, 0, List.of(), versions)));
    return found;
  }

  synchronized int count(Outcome.End end) {
    return (int) outcomes.stream().filter(outcome -> outcome.end() == end).count();
  }
}

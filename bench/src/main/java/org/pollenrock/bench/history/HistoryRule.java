package org.pollenrock.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.standin.service.Execution;

/** A check of one invariant that reads the history alone. */
public enum HistoryRule {
  /** A call with an idempotency key runs at most once. */
  AT_MOST_ONCE("at-most-once") {
    @Override
    public List<Violation> check(RunHistory history) {
      Map<String, Integer> runs = new HashMap<>();
      keyed(history).forEach(execution -> runs.merge(execution.key(), 1, Integer::sum));
      return runs.entrySet().stream()
          .filter(entry -> entry.getValue() > 1)
          .map(entry -> violation("key " + entry.getKey() + " ran " + entry.getValue() + " times"))
          .toList();
    }
  },
  /** A call that its caller was told did not run has not run. */
  TRUTHFUL_REFUSAL("truthful-refusal") {
    @Override
    public List<Violation> check(RunHistory history) {
      Set<String> ran = keyed(history).stream().map(Execution::key).collect(Collectors.toSet());
      return history.outcomes().stream()
          .filter(outcome -> outcome.end() == Outcome.End.REFUSED_NOT_RUN)
          .filter(outcome -> ran.contains(outcome.request().key()))
          .map(outcome -> violation("request " + outcome.request().number() + " ran"))
          .toList();
    }
  },
  /** An answer is the one to its request. */
  ANSWER_IDENTITY("answer-identity") {
    @Override
    public List<Violation> check(RunHistory history) {
      return withEnd(history, Outcome.End.WRONG);
    }
  },
  /** A stream is complete. */
  WHOLE_STREAMS("whole-streams") {
    @Override
    public List<Violation> check(RunHistory history) {
      return withEnd(history, Outcome.End.INCOMPLETE);
    }
  },
  /** No engine served one customer from the blocks of another. */
  CACHE_IDENTITY("cache-identity") {
    @Override
    public List<Violation> check(RunHistory history) {
      if (history.foreignHits() == 0) {
        return List.of();
      }
      return List.of(violation(history.foreignHits() + " hits on blocks of another customer"));
    }
  },
  /** A leaving server gets no new work after a few seconds. */
  LEAVING_DRAIN("leaving-drain") {
    @Override
    public List<Violation> check(RunHistory history) {
      List<Violation> found = new ArrayList<>();
      for (ServerDeparture departure : history.departures()) {
        history.engineRuns().stream()
            .filter(run -> run.execution().server().equals(departure.server()))
            .filter(run -> run.atNanos() > departure.atNanos() + LEAVING_BOUND_NANOS)
            .forEach(run -> found.add(violation(departure.server() + " ran " + run.execution())));
      }
      return found;
    }
  },
  /** Settings of a router never go back. */
  SETTINGS_DURABILITY("settings-durability") {
    @Override
    public List<Violation> check(RunHistory history) {
      List<Violation> found = new ArrayList<>();
      Map<String, Long> newest = new HashMap<>();
      for (RevisionSample sample : history.revisions()) {
        long before = newest.getOrDefault(sample.router(), Long.MIN_VALUE);
        if (sample.revision() < before) {
          found.add(violation(sample.router() + " went from " + before + " to " + sample));
        }
        newest.merge(sample.router(), sample.revision(), Math::max);
      }
      return found;
    }
  };

  /** Time after which a leaving server must get nothing new. */
  private static final long LEAVING_BOUND_NANOS = 3_000_000_000L;

  private final String invariant;

  HistoryRule(String invariant) {
    this.invariant = invariant;
  }

  /**
   * Checks a history.
   *
   * @param history the history
   * @return every violation found
   */
  public abstract List<Violation> check(RunHistory history);

  /**
   * Checks a history against every rule.
   *
   * @param history the history
   * @return every violation found
   */
  public static List<Violation> checkAll(RunHistory history) {
    List<Violation> found = new ArrayList<>();
    for (HistoryRule rule : values()) {
      found.addAll(rule.check(history));
    }
    return found;
  }

  Violation violation(String detail) {
    return new Violation(invariant, detail);
  }

  private static List<Execution> keyed(RunHistory history) {
    return history.postings().stream().filter(execution -> !execution.key().isEmpty()).toList();
  }

  List<Violation> withEnd(RunHistory history, Outcome.End end) {
    return history.outcomes().stream()
        .filter(outcome -> outcome.end() == end)
        .map(outcome -> violation("request " + outcome.request().number() + " " + outcome.code()))
        .toList();
  }
}

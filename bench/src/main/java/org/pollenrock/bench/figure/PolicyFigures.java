package org.pollenrock.bench.figure;

import java.util.List;
import java.util.OptionalDouble;
import org.HdrHistogram.Histogram;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.history.EngineRun;
import org.pollenrock.bench.history.HistoryRule;
import org.pollenrock.bench.history.RunHistory;
import org.pollenrock.bench.history.Violation;
import org.pollenrock.bench.workload.TrafficKind;

/**
 * Figures of one policy on one trace.
 *
 * @param prefixHitRate cached prompt tokens over all prompt tokens that engines ran
 * @param ttftP50Ms median time to first token
 * @param ttftP95Ms 95th percentile
 * @param ttftP99Ms 99th percentile
 * @param verdictTtftP99Ms 99th percentile of the short requests
 * @param wastedTokens tokens computed although a live engine had them cached
 * @param completed requests with a whole right answer
 * @param refusedNotRun requests refused truthfully or not
 * @param unknown requests whose caller was told that they may have run
 * @param incompleteStreams streams that ended early
 * @param repeatedRuns runs of a key beyond its first
 * @param recoverySeconds time from the end of the faults to nine tenths of the earlier hit rate, or
 *     empty without faults or when it was not reached
 * @param violations every broken invariant
 */
public record PolicyFigures(
    double prefixHitRate,
    double ttftP50Ms,
    double ttftP95Ms,
    double ttftP99Ms,
    double verdictTtftP99Ms,
    long wastedTokens,
    long completed,
    long refusedNotRun,
    long unknown,
    long incompleteStreams,
    long repeatedRuns,
    OptionalDouble recoverySeconds,
    List<Violation> violations) {
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;

  /**
   * Works out the figures of a history.
   *
   * @param history the history
   * @param recoverySeconds time to recover from its faults, or empty
   * @return its figures
   */
  public static PolicyFigures of(RunHistory history, OptionalDouble recoverySeconds) {
    Histogram all = new Histogram(HIGHEST_MICROS, DIGITS);
    Histogram shortOnes = new Histogram(HIGHEST_MICROS, DIGITS);
    for (Outcome outcome : history.outcomes()) {
      if (outcome.ttftNanos() < 0) {
        continue;
      }
      long micros = outcome.ttftNanos() / 1_000;
      all.recordValue(micros);
      if (outcome.request().kind().shape() == TrafficKind.Shape.SHORT_MODEL) {
        shortOnes.recordValue(micros);
      }
    }
    List<Violation> violations = HistoryRule.checkAll(history);
    return new PolicyFigures(
        hitRate(history.engineRuns()),
        millis(all, 50),
        millis(all, 95),
        millis(all, 99),
        millis(shortOnes, 99),
        history.engineRuns().stream().mapToLong(EngineRun::wastedTokens).sum(),
        count(history, Outcome.End.COMPLETED),
        count(history, Outcome.End.REFUSED_NOT_RUN),
        count(history, Outcome.End.UNKNOWN) + count(history, Outcome.End.RAN),
        count(history, Outcome.End.INCOMPLETE),
        HistoryRule.AT_MOST_ONCE.check(history).size(),
        recoverySeconds,
        violations);
  }

  /**
   * Share of prompt tokens that were cached.
   *
   * @param runs requests that engines ran
   * @return a fraction, 0 without runs
   */
  public static double hitRate(List<EngineRun> runs) {
    long prompt = runs.stream().mapToLong(run -> run.execution().promptTokens()).sum();
    long cached = runs.stream().mapToLong(run -> run.execution().cachedTokens()).sum();
    return prompt == 0 ? 0 : (double) cached / prompt;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  private static long count(RunHistory history, Outcome.End end) {
    return history.outcomes().stream().filter(outcome -> outcome.end() == end).count();
  }
}

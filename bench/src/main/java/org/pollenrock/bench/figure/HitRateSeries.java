package org.pollenrock.bench.figure;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import org.pollenrock.bench.history.EngineRun;

/** Prefix hit rate over time, from the runs of engines. */
public final class HitRateSeries {
  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final long STEP_NANOS = 50_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double RECOVERED_SHARE = 0.9;

  private final List<EngineRun> runs;

  /**
   * Makes the series.
   *
   * @param runs requests that engines ran, in any order
   */
  public HitRateSeries(List<EngineRun> runs) {
    this.runs = runs.stream().sorted(Comparator.comparingLong(EngineRun::atNanos)).toList();
  }

  /**
   * Hit rate of the runs in a span of time.
   *
   * @param fromNanos start, inclusive, from the start of the trace
   * @param toNanos end, exclusive
   * @return a fraction, or empty when nothing ran
   */
  public OptionalDouble between(long fromNanos, long toNanos) {
    List<EngineRun> inside =
        runs.stream().filter(run -> run.atNanos() >= fromNanos && run.atNanos() < toNanos).toList();
    return inside.isEmpty()
        ? OptionalDouble.empty()
        : OptionalDouble.of(PolicyFigures.hitRate(inside));
  }

  /**
   * Hit rate over the second before a moment.
   *
   * @param atNanos the moment, from the start of the trace
   * @return a fraction, or empty when nothing ran
   */
  public OptionalDouble lastSecond(long atNanos) {
    return between(atNanos - WINDOW_NANOS, atNanos);
  }

  /**
   * Time from the end of a fault until the hit rate over a sliding second is back at nine tenths of
   * its level before the fault.
   *
   * <p>The level is taken over the second half of the time before the fault, when caches are warm.
   * The sliding second starts at the end of the fault at the earliest, and must lie within the
   * trace.
   *
   * @param window when the fault lasted
   * @param traceEndNanos end of the trace
   * @return seconds to the end of the first second that reaches the level, or empty when none does
   */
  public OptionalDouble recoverySeconds(FaultWindow window, long traceEndNanos) {
    double level = between(window.startNanos() / 2, window.startNanos()).orElse(0);
    long first = window.endNanos() + WINDOW_NANOS;
    for (long at = first; at <= traceEndNanos; at += STEP_NANOS) {
      OptionalDouble rate = lastSecond(at);
      if (rate.isPresent() && rate.getAsDouble() >= RECOVERED_SHARE * level) {
        return OptionalDouble.of((at - window.endNanos()) / NANOS_PER_SECOND);
      }
    }
    return OptionalDouble.empty();
  }
}

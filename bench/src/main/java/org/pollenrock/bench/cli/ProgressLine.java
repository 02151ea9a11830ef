package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicLong;
import org.pollenrock.bench.drive.Outcome;

/** Prints how far a run is, about once a second of the trace. */
final class ProgressLine {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrintStream out;
  private final String policy;
  private final double seconds;
  private final AtomicLong outcomes = new AtomicLong();
  private final AtomicLong shownSecond = new AtomicLong(-1);

  ProgressLine(PrintStream out, String policy, double seconds) {
    this.out = out;
    this.policy = policy;
    this.seconds = seconds;
  }

  void add(Outcome outcome) {
    long done = outcomes.incrementAndGet();
    long second = (long) (outcome.endNanos() / NANOS_PER_SECOND);
    long shown = shownSecond.get();
    if (second > shown && shownSecond.compareAndSet(shown, second)) {
      out.printf("\r%-16s %3d of %.0f s, %d answers", policy, second, seconds, done);
      out.flush();
    }
  }

  void end() {
    out.printf("\r%-16s done, %d answers%n", policy, outcomes.get());
  }
}

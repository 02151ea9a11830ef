package org.pollenrock.ctl.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of a load run, safe for use by several threads. */
public final class LoadFigures {
  private static final int DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double[] PERCENTILES = {50, 95, 99};

  /** How a request ended. */
  public enum Ending {
    /** The answer was complete. */
    COMPLETED,
    /** A stream ended early, out of order or with an error event. */
    INCOMPLETE,
    /** The router refused it and states that it was not run. */
    REFUSED_NOT_RUN,
    /** The router answered with another error. */
    FAILED,
    /** There was no answer. */
    NO_ANSWER,
    /** It was not sent because too many were open. */
    NOT_SENT
  }

  private static final class Kind {
    private final Map<Ending, Long> endings = new TreeMap<>();
    private final Histogram firstByte = new Histogram(DIGITS);
    private final Histogram total = new Histogram(DIGITS);
  }

  private final Map<String, Kind> kinds = new TreeMap<>();

  /**
   * Counts a request that has no latency.
   *
   * @param kind its kind
   * @param ending how it ended
   */
  public synchronized void count(String kind, Ending ending) {
    kinds.computeIfAbsent(kind, name -> new Kind()).endings.merge(ending, 1L, Long::sum);
  }

  /**
   * Counts a completed request. Times are measured from the time at which it was due.
   *
   * @param kind its kind
   * @param firstNanos time to the first token, or to the answer of a plain call, in nanoseconds
   * @param totalNanos time to the end of the answer, in nanoseconds
   */
  public synchronized void completed(String kind, long firstNanos, long totalNanos) {
    count(kind, Ending.COMPLETED);
    kinds.get(kind).firstByte.recordValue(Math.max(0, firstNanos));
    kinds.get(kind).total.recordValue(Math.max(0, totalNanos));
  }

  /**
   * Number of requests that ended in a way.
   *
   * @param ending how they ended
   * @return the count over all kinds
   */
  public synchronized long count(Ending ending) {
    return kinds.values().stream().mapToLong(kind -> kind.endings.getOrDefault(ending, 0L)).sum();
  }

  /**
   * All figures.
   *
   * @return an object with one entry for each kind and totals
   */
  public synchronized ObjectNode json() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    for (Ending ending : Ending.values()) {
      json.put(name(ending), count(ending));
    }
    ObjectNode byKind = json.putObject("kinds");
    kinds.forEach((name, kind) -> addKind(byKind.putObject(name), kind));
    return json;
  }

  private static void addKind(ObjectNode json, Kind kind) {
    kind.endings.forEach((ending, count) -> json.put(name(ending), count));
    addLatency(json, "ttft", kind.firstByte);
    addLatency(json, "total", kind.total);
  }

  private static void addLatency(ObjectNode json, String name, Histogram histogram) {
    for (double percentile : PERCENTILES) {
      json.put("%s_p%.0f_ms".formatted(name, percentile), millis(histogram, percentile));
    }
    json.put(name + "_max_ms", histogram.getMaxValue() / NANOS_PER_MILLI);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  private static String name(Ending ending) {
    return ending.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Prints a table and the distribution of the time to first token of each kind.
   *
   * @param out receives the text
   */
  public synchronized void print(PrintWriter out) {
    out.printf(
        "%-18s %9s %9s %9s %9s %9s %9s%n",
        "kind", "completed", "other", "p50 ms", "p95 ms", "p99 ms", "max ms");
    kinds.forEach((name, kind) -> printKind(out, name, kind));
    kinds.forEach(
        (name, kind) -> {
          if (kind.firstByte.getTotalCount() > 0) {
            out.printf("%nTime to first token or answer of %s%n", name);
            printDistribution(out, kind.firstByte);
          }
        });
  }

  private static void printKind(PrintWriter out, String name, Kind kind) {
    long completed = kind.endings.getOrDefault(Ending.COMPLETED, 0L);
    long all = kind.endings.values().stream().mapToLong(Long::longValue).sum();
    Histogram first = kind.firstByte;
    out.printf(
        "%-18s %9d %9d %9.2f %9.2f %9.2f %9.2f%n",
        name,
        completed,
        all - completed,
        millis(first, PERCENTILES[0]),
        millis(first, PERCENTILES[1]),
        millis(first, PERCENTILES[2]),
        first.getMaxValue() / NANOS_PER_MILLI);
  }

  private static void printDistribution(PrintWriter out, Histogram histogram) {
    histogram
        .logarithmicBucketValues(1_000_000, 2)
        .forEach(
            bucket -> {
              if (bucket.getCountAddedInThisIterationStep() > 0) {
                out.printf(
                    "  below %10.1f ms %8d%n",
                    bucket.getValueIteratedTo() / NANOS_PER_MILLI,
                    bucket.getCountAddedInThisIterationStep());
              }
            });
  }
}

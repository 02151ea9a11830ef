package org.pollenrock.bench.figure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;

/** Writes the figures of several policies as one JSON object or as a table. */
public final class FigureReport {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String deployment;
  private final long seed;
  private final Map<String, PolicyFigures> byPolicy;
  private final boolean withFaults;

  /**
   * Makes a report.
   *
   * @param deployment name of the deployment
   * @param seed seed of the trace
   * @param byPolicy figures by policy, in the order to print
   * @param withFaults whether to write the recovery from faults
   */
  public FigureReport(
      String deployment, long seed, Map<String, PolicyFigures> byPolicy, boolean withFaults) {
    this.deployment = deployment;
    this.seed = seed;
    this.byPolicy = byPolicy;
    this.withFaults = withFaults;
  }

  /**
   * Writes one line of JSON.
   *
   * @return the object
   */
  public String json() {
    ObjectNode report = JSON.createObjectNode();
    report.put("deployment", deployment);
    report.put("seed", seed);
    ObjectNode policies = report.putObject("policies");
    byPolicy.forEach((name, figures) -> write(figures, policies.putObject(name)));
    return report.toString();
  }

  /**
   * Writes a table, a policy a row.
   *
   * @return lines of text
   */
  public String table() {
    StringBuilder table = new StringBuilder();
    table.append(
        String.format(
            Locale.ROOT,
            "%-16s %8s %9s %9s %9s %11s %10s %9s %8s %8s %10s %8s %10s",
            "policy",
            "hit rate",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "short p99",
            "wasted",
            "completed",
            "refused",
            "unknown",
            "incomplete",
            "repeated",
            "violations"));
    table.append(withFaults ? "  recovery s%n".formatted() : System.lineSeparator());
    byPolicy.forEach((name, figures) -> table.append(row(name, figures)));
    return table.toString();
  }

  private String row(String name, PolicyFigures figures) {
    String row =
        String.format(
            Locale.ROOT,
            "%-16s %8.4f %9.1f %9.1f %9.1f %11.1f %10d %9d %8d %8d %10d %8d %10d",
            name,
            figures.prefixHitRate(),
            figures.ttftP50Ms(),
            figures.ttftP95Ms(),
            figures.ttftP99Ms(),
            figures.verdictTtftP99Ms(),
            figures.wastedTokens(),
            figures.completed(),
            figures.refusedNotRun(),
            figures.unknown(),
            figures.incompleteStreams(),
            figures.repeatedRuns(),
            figures.violations().size());
    return row + recovery(figures) + System.lineSeparator();
  }

  private String recovery(PolicyFigures figures) {
    if (!withFaults) {
      return "";
    }
    return figures.recoverySeconds().isPresent()
        ? String.format(Locale.ROOT, " %11.2f", figures.recoverySeconds().getAsDouble())
        : String.format(Locale.ROOT, " %11s", "not reached");
  }

  private void write(PolicyFigures figures, ObjectNode node) {
    node.put("prefix_hit_rate", rounded(figures.prefixHitRate()));
    node.put("ttft_p50_ms", rounded(figures.ttftP50Ms()));
    node.put("ttft_p95_ms", rounded(figures.ttftP95Ms()));
    node.put("ttft_p99_ms", rounded(figures.ttftP99Ms()));
    node.put("verdict_ttft_p99_ms", rounded(figures.verdictTtftP99Ms()));
    node.put("wasted_tokens", figures.wastedTokens());
    node.put("completed", figures.completed());
    node.put("refused_not_run", figures.refusedNotRun());
    node.put("unknown", figures.unknown());
    node.put("incomplete_streams", figures.incompleteStreams());
    node.put("repeated_runs", figures.repeatedRuns());
    node.put("invariant_violations", figures.violations().size());
    if (!withFaults) {
      return;
    }
    if (figures.recoverySeconds().isPresent()) {
      node.put("recovery_seconds", rounded(figures.recoverySeconds().getAsDouble()));
    } else {
      node.putNull("recovery_seconds");
    }
  }

  private static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}

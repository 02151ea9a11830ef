package org.pollenrock.bench.figure;

import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.ui.Layer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.history.RunHistory;

/**
 * Writes an HTML page with plots of hit rate and time to first token over time, a line a policy.
 */
public final class PlotPage {
  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 420;
  private static final double STEP_SECONDS = 0.5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final int HIGH_PERCENTILE = 95;
  private static final String HIT_RATE_FILE = "hit_rate.png";
  private static final String MEDIAN_FILE = "ttft_p50.png";
  private static final String HIGH_FILE = "ttft_p95.png";

  private final String title;
  private final double seconds;
  private final Optional<FaultWindow> faults;
  private final Map<String, RunHistory> histories = new LinkedHashMap<>();

  /**
   * Makes an empty page.
   *
   * @param title heading of the page
   * @param seconds length of the trace
   * @param faults when faults lasted, or empty without faults
   */
  public PlotPage(String title, double seconds, Optional<FaultWindow> faults) {
    this.title = title;
    this.seconds = seconds;
    this.faults = faults;
  }

  /**
   * Adds a policy.
   *
   * @param policy its name
   * @param history its run
   */
  public void add(String policy, RunHistory history) {
    histories.put(policy, history);
  }

  /**
   * Writes the page and its plots.
   *
   * @param directory where to write; made when absent
   * @param table figures as text
   * @throws IOException when a file cannot be written
   */
  public void write(Path directory, String table) throws IOException {
    Files.createDirectories(directory);
    plot(directory, HIT_RATE_FILE, "prefix hit rate over the last second", this::hitRates);
    plot(
        directory,
        MEDIAN_FILE,
        "median time to first token over the last second, ms",
        history -> firstTokens(history, 50));
    plot(
        directory,
        HIGH_FILE,
        "95th percentile of the time to first token over the last second, ms",
        history -> firstTokens(history, HIGH_PERCENTILE));
    Files.writeString(directory.resolve("index.html"), html(table), StandardCharsets.UTF_8);
  }

  /** Points of one policy in one plot. */
  @FunctionalInterface
  private interface Line {
    List<double[]> points(RunHistory history);
  }

  private void plot(Path directory, String file, String label, Line line) throws IOException {
    XYSeriesCollection lines = new XYSeriesCollection();
    histories.forEach(
        (policy, history) -> {
          XYSeries series = new XYSeries(policy);
          line.points(history).forEach(point -> series.add(point[0], point[1]));
          lines.addSeries(series);
        });
    JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds", label, lines);
    faults.ifPresent(window -> chart.getXYPlot().addDomainMarker(marker(window), Layer.BACKGROUND));
    File target = directory.resolve(file).toFile();
    ChartUtils.saveChartAsPNG(target, chart, WIDTH, HEIGHT);
  }

  private static IntervalMarker marker(FaultWindow window) {
    IntervalMarker marker =
        new IntervalMarker(
            window.startNanos() / NANOS_PER_SECOND, window.endNanos() / NANOS_PER_SECOND);
    marker.setPaint(Color.PINK);
    marker.setLabel("fault");
    return marker;
  }

  private List<double[]> hitRates(RunHistory history) {
    HitRateSeries series = new HitRateSeries(history.engineRuns());
    List<double[]> points = new ArrayList<>();
    for (double at = 1; at <= seconds; at += STEP_SECONDS) {
      double second = at;
      series
          .lastSecond(Math.round(at * NANOS_PER_SECOND))
          .ifPresent(rate -> points.add(new double[] {second, rate}));
    }
    return points;
  }

  private List<double[]> firstTokens(RunHistory history, double percentile) {
    List<double[]> points = new ArrayList<>();
    for (double at = 1; at <= seconds; at += STEP_SECONDS) {
      Histogram times = new Histogram(HIGHEST_MICROS, DIGITS);
      for (Outcome outcome : history.outcomes()) {
        double sent = outcome.sentNanos() / NANOS_PER_SECOND;
        if (outcome.ttftNanos() >= 0 && sent >= at - 1 && sent < at) {
          times.recordValue(outcome.ttftNanos() / 1_000);
        }
      }
      if (times.getTotalCount() > 0) {
        points.add(new double[] {at, times.getValueAtPercentile(percentile) / 1_000.0});
      }
    }
    return points;
  }

  private String html(String table) {
    return """
    <!DOCTYPE html>
    <html lang="en">
    <head><meta charset="utf-8"><title>%1$s</title></head>
    <body>
    <h1>%1$s</h1>
    <pre>%2$s</pre>
    <img src="%3$s" alt="prefix hit rate over time">
    <img src="%4$s" alt="median time to first token over time">
    <img src="%5$s" alt="95th percentile of the time to first token over time">
    </body>
    </html>
    """
        .formatted(title, table, HIT_RATE_FILE, MEDIAN_FILE, HIGH_FILE);
  }
}

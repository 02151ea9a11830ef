package org.pollenrock.bench.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.pollenrock.bench.experiment.Experiment;
import org.pollenrock.bench.experiment.ExperimentOptions;
import org.pollenrock.bench.experiment.Policy;
import org.pollenrock.bench.fault.FaultName;
import org.pollenrock.bench.figure.FaultWindow;
import org.pollenrock.bench.figure.FigureReport;
import org.pollenrock.bench.figure.HitRateSeries;
import org.pollenrock.bench.figure.PlotPage;
import org.pollenrock.bench.figure.PolicyFigures;
import org.pollenrock.bench.history.RunHistory;
import org.pollenrock.bench.history.Violation;
import org.pollenrock.bench.workload.Deployment;
import picocli.CommandLine;

/** Drives one trace of a deployment under several policies and prints their figures. */
@CommandLine.Command(
    name = "bench",
    description = "Drives one trace of a deployment under several policies and prints figures.",
    mixinStandardHelpOptions = true)
public final class BenchCommand implements Callable<Integer> {
  /** Exit code when a history breaks an invariant. */
  public static final int EXIT_VIOLATION = 3;

  private static final int SHOWN_VIOLATIONS = 5;
  private static final double NANOS_PER_SECOND = 1e9;

  @CommandLine.Option(
      names = "--deployment",
      description = "chama or directorate; required without a subcommand.")
  private String deployment;

  @CommandLine.Option(names = "--seed", defaultValue = "1", description = "Seed of the trace.")
  private long seed;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "20",
      description = "Length of the trace in seconds.")
  private double seconds;

  @CommandLine.Option(
      names = "--fault",
      defaultValue = "",
      description = "Faults in the middle third of the trace, separated by commas.")
  private String faults;

  @CommandLine.Option(
      names = "--policy",
      defaultValue = "",
      description = "Policies separated by commas; all when absent.")
  private String policies;

  @CommandLine.Option(
      names = "--report",
      description = "Directory for an HTML page with plots over time.")
  private Path reportDirectory;

  @CommandLine.Option(names = "--json", description = "Print one JSON object as the last line.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private final PrintStream out;
  private final PrintStream progress;

  /**
   * Makes the command.
   *
   * @param out where figures go
   * @param progress where progress goes
   */
  public BenchCommand(PrintStream out, PrintStream progress) {
    this.out = out;
    this.progress = progress;
  }

  /**
   * Runs the command.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    System.exit(commandLine(System.out, System.err).execute(arguments));
  }

  /**
   * Makes the command line with its subcommands.
   *
   * @param out where figures go
   * @param progress where progress goes
   * @return what parses and runs the arguments
   */
  static CommandLine commandLine(PrintStream out, PrintStream progress) {
    return new CommandLine(new BenchCommand(out, progress))
        .addSubcommand(new ThroughputCommand(out))
        .addSubcommand(new StreamsCommand(out))
        .addSubcommand(new OverheadCommand(out))
        .addSubcommand(new ControlCommand(out));
  }

  @Override
  public Integer call() throws InterruptedException, IOException {
    if (deployment == null) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "missing option --deployment or a subcommand");
    }
    ExperimentOptions options =
        new ExperimentOptions(
            Deployment.named(deployment),
            seed,
            seconds,
            FaultName.parse(faults),
            Policy.parse(policies));
    progress.printf(
        "deployment %s, seed %d, %.0f s, times scaled by 1, faults %s%n",
        deployment, seed, seconds, names(options.faults()));
    Map<String, PolicyFigures> figures = new LinkedHashMap<>();
    PlotPage page = new PlotPage(title(options), seconds, window(options));
    for (Policy policy : options.policies()) {
      RunHistory history = run(options, policy);
      figures.put(policy.wireName(), show(options, history));
      page.add(policy.wireName(), history);
    }
    FigureReport report = new FigureReport(deployment, seed, figures, !options.faults().isEmpty());
    if (reportDirectory != null) {
      page.write(reportDirectory, report.table());
    }
    out.print(json ? report.json() + System.lineSeparator() : report.table());
    PolicyFigures own = figures.get(Policy.POLLENROCK.wireName());
    return own == null || own.violations().isEmpty() ? 0 : EXIT_VIOLATION;
  }

  private static String title(ExperimentOptions options) {
    return "%s, seed %d, faults: %s"
        .formatted(options.deployment().name(), options.seed(), names(options.faults()));
  }

  private static Optional<FaultWindow> window(ExperimentOptions options) {
    return options.faults().isEmpty()
        ? Optional.empty()
        : Optional.of(
            new FaultWindow(
                Math.round(options.faultStartSeconds() * NANOS_PER_SECOND),
                Math.round(options.faultEndSeconds() * NANOS_PER_SECOND)));
  }

  private static OptionalDouble recovery(ExperimentOptions options, RunHistory history) {
    long traceEndNanos = Math.round(options.seconds() * NANOS_PER_SECOND);
    return window(options)
        .map(
            window ->
                new HitRateSeries(history.engineRuns()).recoverySeconds(window, traceEndNanos))
        .orElse(OptionalDouble.empty());
  }

  private RunHistory run(ExperimentOptions options, Policy policy) throws InterruptedException {
    ProgressLine line = new ProgressLine(progress, policy.wireName(), options.seconds());
    RunHistory history = new Experiment(options, line::add).run(policy);
    line.end();
    return history;
  }

  private PolicyFigures show(ExperimentOptions options, RunHistory history) {
    PolicyFigures figures = PolicyFigures.of(history, recovery(options, history));
    List<Violation> violations = figures.violations();
    violations.stream()
        .limit(SHOWN_VIOLATIONS)
        .forEach(violation -> progress.println("  " + violation));
    Map<String, Long> codes =
        history.outcomes().stream()
            .filter(outcome -> !outcome.code().isEmpty())
            .collect(
                Collectors.groupingBy(
                    outcome -> outcome.end() + " " + outcome.code(), Collectors.counting()));
    if (!codes.isEmpty()) {
      progress.println("  " + codes);
    }
    return figures;
  }

  private static String names(Set<FaultName> faults) {
    return faults.isEmpty()
        ? "none"
        : faults.stream().map(FaultName::wireName).collect(Collectors.joining(","));
  }
}

package org.pollenrock.bench.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.pollenrock.bench.experiment.Experiment;
import org.pollenrock.bench.experiment.ExperimentOptions;
import org.pollenrock.bench.experiment.Policy;
import org.pollenrock.bench.fault.FaultName;
import org.pollenrock.bench.figure.FigureReport;
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
        .addSubcommand(new OverheadCommand(out));
  }

  @Override
  public Integer call() throws InterruptedException {
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
    for (Policy policy : options.policies()) {
      figures.put(policy.wireName(), run(options, policy));
    }
    FigureReport report = new FigureReport(deployment, seed, figures);
    out.print(json ? report.json() + System.lineSeparator() : report.table());
    PolicyFigures own = figures.get(Policy.POLLENROCK.wireName());
    return own == null || own.violations().isEmpty() ? 0 : EXIT_VIOLATION;
  }

  private PolicyFigures run(ExperimentOptions options, Policy policy) throws InterruptedException {
    ProgressLine line = new ProgressLine(progress, policy.wireName(), options.seconds());
    RunHistory history = new Experiment(options, line::add).run(policy);
    PolicyFigures figures = PolicyFigures.of(history);
    line.end();
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

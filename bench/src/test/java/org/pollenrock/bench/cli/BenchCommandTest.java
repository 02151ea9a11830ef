package org.pollenrock.bench.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Guards against subcommands that require the options of the experiment, and the reverse. */
class BenchCommandTest {
  @Test
  void subcommandNeedsNoDeployment() {
    CommandLine.ParseResult parsed = commandLine().parseArgs("streams", "--streams", "7");

    assertThat(parsed.subcommand().<Integer>matchedOptionValue("--streams", 0)).isEqualTo(7);
  }

  @Test
  void experimentNeedsDeployment() {
    StringWriter errors = new StringWriter();

    int code = commandLine().setErr(new PrintWriter(errors)).execute("--seconds", "1");

    assertThat(code).isEqualTo(CommandLine.ExitCode.USAGE);
    assertThat(errors.toString()).contains("--deployment");
  }

  private static CommandLine commandLine() {
    PrintStream none = new PrintStream(OutputStream.nullOutputStream());
    return BenchCommand.commandLine(none, none);
  }
}

package org.pollenrock.bench.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Guards against a path from caller to backend server that no longer works as a whole. */
class DemoCommandTest {
  @Test
  void everyAnswerIsWholeAndRight() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);

    int exitCode = new CommandLine(new DemoCommand(out)).execute("--once");

    assertThat(exitCode).as(output.toString(StandardCharsets.UTF_8)).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("ran it 1 time(s)");
  }
}

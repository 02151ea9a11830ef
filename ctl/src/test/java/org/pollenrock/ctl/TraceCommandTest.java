package org.pollenrock.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a story of a request that is out of order or lacks what one instance saw. */
class TraceCommandTest {
  @TempDir private Path directory;
  private String first;
  private String second;

  @BeforeEach
  void write() throws IOException {
    first =
        log(
            "front-1.log",
            """
            {"time_ms":1000,"event":"send_failed","id":"a1","server":"i-1","failure":"BROKEN"}
            not a line of ours
            {"time_ms":1200,"event":"request","id":"a1","server":"i-2","status":502,"total_ms":300}
            {"time_ms":1100,"event":"request","id":"other","server":"i-1","status":200}
            {"time_ms":950,"event":"server_unlisted","server":"i-1"}
            {"time_ms":960,"event":"server_unlisted","server":"i-9"}
            {"time_ms":10,"event":"started"}
            """);
    second =
        log(
            "front-2.log",
            "{\"time_ms\":1150,\"event\":\"foreign_answer\",\"id\":\"a1\",\"server\":\"i-2\"}\n");
  }

  private String log(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  @Test
  void printsTheLinesOfARequestFromSeveralLogsInOrder() {
    Invocation trace = Invocation.run("trace", "a1", first, second);
    assertThat(trace.code()).isZero();
    assertThat(trace.out().lines())
        .satisfiesExactly(
            line -> assertThat(line).contains("+0 ms", "front-1.log", "send_failed", "BROKEN"),
            line -> assertThat(line).contains("+150 ms", "front-2.log", "foreign_answer"),
            line -> assertThat(line).contains("+200 ms", "front-1.log", "status=502"));
  }

  @Test
  void showsWhatHappenedToTheServersOfTheRequestAround() {
    Invocation trace = Invocation.run("trace", "a1", "--around", "100", first, second);
    assertThat(trace.out())
        .contains("server_unlisted  server=i-1")
        .doesNotContain("i-9", "started");
  }

  @Test
  void unknownRequestIsAnError() {
    assertThat(Invocation.run("trace", "a2", first).code()).isEqualTo(1);
    assertThat(Invocation.run("trace", "a1", directory.resolve("none").toString()).code())
        .isEqualTo(3);
  }
}

package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Tests that the event log never blocks its callers, has a bounded buffer and drops the lines of
 * failures last.
 */
class EventLogTest {
  private static final long STOP_MILLIS = 10_000;

  /** Output that blocks all writes until the test unblocks it, like a pipe that nobody reads. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @Override
    public void write(int value) throws IOException {
      try {
        unblocked.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      out.write(value);
    }
  }

  @Test
  void writesJsonLinesInFieldOrder() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(out);
    log.start();
    log.line("started")
        .with("text", "a \"quoted\"\nline")
        .with("number", 7)
        .with("none", null)
        .write();
    log.stop(STOP_MILLIS);
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text)
        .endsWith(",\"text\":\"a \\\"quoted\\\"\\nline\",\"number\":7}\n")
        .doesNotContain("none");
    try (JsonParser parser = new JsonFactory().createParser(text)) {
      while (parser.nextToken() != null) {
        assertThat(parser.currentToken()).isNotNull();
      }
    }
  }

  /** Logs ten thousand routine lines and as many refusals while nobody reads the log. */
  @Test
  void neverBlocksAndDropsRoutineLinesFirst() {
    BlockedOutput out = new BlockedOutput();
    EventLog log = new EventLog(out);
    log.start();
    String filler = "x".repeat(100);
    for (int i = 0; i < 10_000; i++) {
      log.line("request", EventLog.Importance.ROUTINE).with("filler", filler).write();
    }
    long droppedRoutine = log.droppedLines();
    assertThat(droppedRoutine).isBetween(5_000L, 10_000L);
    for (int i = 0; i < 500; i++) {
      log.line("refused").with("filler", filler).write();
    }
    assertThat(log.droppedLines()).isEqualTo(droppedRoutine);
    for (int i = 0; i < 10_000; i++) {
      log.line("refused").with("filler", filler).write();
    }
    assertThat(log.droppedLines()).isGreaterThan(droppedRoutine);
    out.unblocked.countDown();
    log.stop(STOP_MILLIS);
    assertThat(out.out.size()).isLessThan(EventLog.CAPACITY_BYTES + 1_000);
    assertThat(out.out.toString(StandardCharsets.UTF_8)).contains("log_lines_dropped");
  }

  @Test
  void countsDroppedLinesWhenOutputFails() {
    EventLog log =
        new EventLog(
            new OutputStream() {
              @Override
              public void write(int value) throws IOException {
                throw new IOException("closed");
              }
            });
    log.start();
    log.line("started").write();
    log.stop(STOP_MILLIS);
    assertThat(log.droppedLines()).isPositive();
  }
}

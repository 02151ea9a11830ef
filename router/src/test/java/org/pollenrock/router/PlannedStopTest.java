package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards requests that a planned stop of the router meets. */
class PlannedStopTest {
  private static final Duration PATIENT = Duration.ofMinutes(1);

  private TestCluster cluster;

  @BeforeEach
  void start() {
    RouterTimes times = RouterTimes.defaults();
    RouterTimes patient =
        new RouterTimes(
            PATIENT,
            times.firstTokenFactor(),
            PATIENT,
            PATIENT,
            times.provenLife(),
            times.control(),
            times.reportInterval());
    cluster = new TestCluster(1, patient, Duration.ofSeconds(3), PATIENT);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", cluster.router().callerAddress().getPort());
    socket.setSoTimeout(20_000);
    return socket;
  }

  private static void send(Socket socket, String method, String path, String body)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    out.write((head + body).getBytes(StandardCharsets.UTF_8));
  }

  private static String rest(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  private void awaitExecutions(int count) {
    TestCluster.await(
        () ->
            cluster.ledgers().stream().mapToInt(ledger -> ledger.executions().size()).sum()
                >= count);
  }

  /** Guards against a call that may not be repeated and is cut without an answer. */
  @Test
  void callThatRunsAtTheEndOfTheStopIsAnswered() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "POST", "/ledger/refunds", "{}");
      awaitExecutions(1);
      CompletableFuture<Integer> drained = cluster.router().drain();
      assertThat(rest(caller))
          .startsWith("HTTP/1.1 504 ")
          .contains("\"run\":\"unknown\"", "\"code\":\"outcome_unknown\"");
      assertThat(drained.join()).isEqualTo(1);
    }
  }

  /** Guards against a late request that is passed on although it can't end in time. */
  @Test
  void lateRequestOnAnOpenConnectionIsRefusedAsNotRun() throws Exception {
    try (Socket busy = connect();
        Socket idle = connect()) {
      send(busy, "POST", "/ledger/refunds", "{}");
      awaitExecutions(1);
      CompletableFuture<Integer> drained = cluster.router().drain();
      Thread.sleep(500);
      send(idle, "POST", "/ledger/refunds", "{}");
      assertThat(rest(idle))
          .startsWith("HTTP/1.1 503 ")
          .containsIgnoringCase("retry-after: 1")
          .contains("\"run\":\"not_run\"");
      drained.join();
      awaitExecutions(1);
      assertThat(cluster.ledgers().stream().mapToInt(ledger -> ledger.executions().size()).sum())
          .isEqualTo(1);
    }
  }

  /** Guards against a request that was received in part and is cut without an answer. */
  @Test
  void requestThatIsReceivedAtTheEndOfTheStopIsRefusedAsNotRun() throws Exception {
    try (Socket caller = connect()) {
      String head = "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123";
      caller.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      Thread.sleep(200);
      CompletableFuture<Integer> drained = cluster.router().drain();
      assertThat(rest(caller)).startsWith("HTTP/1.1 503 ").contains("\"run\":\"not_run\"");
      drained.join();
    }
  }

  /** Guards against a stream that seems to have ended with the router. */
  @Test
  void streamThatRunsAtTheEndOfTheStopBreaksVisibly() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "POST", "/v1/chat/completions", TestCluster.chat(true, 100_000));
      assertThat(caller.getInputStream().read()).isEqualTo('H');
      assertThat(cluster.router().drain().join()).isEqualTo(1);
      assertThat(rest(caller)).doesNotContain("[DONE]").doesNotEndWith("0\r\n\r\n");
    }
  }

  /** Guards against a stop that waits for callers who send nothing. */
  @Test
  void idleConnectionsDoNotHoldTheStop() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "GET", "/v1/models", "");
      assertThat(caller.getInputStream().read()).isEqualTo('H');
      assertThat(cluster.router().drain()).succeedsWithin(Duration.ofMillis(2_500));
    }
  }
}

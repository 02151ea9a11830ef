package org.pollenrock.adapters.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that a server breaks off, or that have no status. */
class EarlyAnswerTest {
  private static final String PART_WITHOUT_LENGTH =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: router/1/1\r\nContent-Type: text/plain\r\n\r\npart";

  private final TransportBed bed = new TransportBed();

  @AfterEach
  void stop() {
    bed.close();
  }

  /** Uploads to a server that answers at once and resets the connection without reading. */
  private HttpOutcome upload(int bodyBytes, String answer, long delayNanos) throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread server = Thread.ofVirtual().start(() -> answerAndReset(listener, answer, delayNanos));
      HttpCall call =
          new HttpCall(
              new HostPort("127.0.0.1", listener.getLocalPort()),
              "POST",
              "/path",
              new DefaultHttpHeaders().set(TransportBed.ID, "router/1/1"),
              new byte[bodyBytes],
              Duration.ofSeconds(5),
              1 << 20,
              bed.held(),
              ConnectionUse.ANY);
      HttpOutcome outcome = bed.transport().call(call).toCompletableFuture().join();
      server.interrupt();
      return outcome;
    }
  }

  private static void answerAndReset(ServerSocket listener, String answer, long delayNanos) {
    try (Socket socket = listener.accept()) {
      socket.setTcpNoDelay(true);
      socket.getInputStream().read(new byte[100]);
      OutputStream out = socket.getOutputStream();
      out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      LockSupport.parkNanos(delayNanos);
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The client has closed the connection first.
    }
  }

  /** Guards against taking the part of an answer before a reset for the whole of it. */
  @ParameterizedTest
  @CsvSource({"2,0", "2,100", "300,0", "300,100", "3000000,0", "3000000,100"})
  void answerWithoutLengthBeforeAResetIsBroken(int bodyBytes, long delayMillis) throws IOException {
    HttpOutcome outcome = upload(bodyBytes, PART_WITHOUT_LENGTH, delayMillis * 1_000_000);
    assertThat(outcome).isInstanceOf(HttpOutcome.Broken.class);
  }

  /** Guards against an answer whose chunks or trailers a reset cuts off. */
  @ParameterizedTest
  @ValueSource(strings = {"4\r\npart\r\n", "4\r\npart\r\n0\r\n", "4\r\npart\r\n0\r\nX-A: b\r\n"})
  void chunkedAnswerBeforeAResetIsBroken(String body) throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: router/1/1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assertThat(upload(300, head + body, 100_000_000)).isInstanceOf(HttpOutcome.Broken.class);
  }

  /** Guards against bytes without a status that the protocol has. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "20", "2000", "2x0", "-200", "+200", "101"})
  void answerWithoutAStatusIsBroken(String status) throws IOException {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              String id = ScriptedServer.header(request, TransportBed.ID);
              TransportBed.write(out, TransportBed.whole(200, id).replace("200", status));
              return false;
            })) {
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Broken.class);
    }
  }

  /** Guards against a test that would pass with every answer broken. */
  @Test
  void wholeAnswerIsTaken() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              String id = ScriptedServer.header(request, TransportBed.ID);
              TransportBed.write(out, TransportBed.whole(200, id));
              return false;
            })) {
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
    }
  }
}

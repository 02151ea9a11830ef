package org.pollenrock.ctl.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards operators against answers of the log that are not those to their request. */
class LogClientTest {
  private static final String APPENDED =
      "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"offset\":7,\"time_ms\":1}";

  private ServerSocket listener;
  private LogClient client;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    client =
        new LogClient(
            URI.create("http://127.0.0.1:" + listener.getLocalPort()),
            "settings",
            Duration.ofSeconds(2));
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
  }

  /** Answers each request of the first connection, and none of the others. */
  private void answerFirstConnection(String response) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket socket = listener.accept()) {
                BufferedReader in =
                    new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                  if (line.isEmpty()) {
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                  }
                }
              } catch (IOException e) {
                // The client has closed the connection.
              }
            });
  }

  /** Guards against the copy of an earlier answer as that of an append that never arrived. */
  @Test
  void appendIsNotAnsweredByACopyOfAnEarlierAnswer() throws Exception {
    answerFirstConnection(APPENDED);
    assertThat(client.append(new byte[0])).isEqualTo(7);
    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> client.append(new byte[0]))
        .matches(LogException::possiblyEffective);
  }

  /** Guards against the status of one answer with the body of another one. */
  @Test
  void answerThatBeginsTwiceIsRefused() {
    answerFirstConnection("HTTP/1.1 200 OK\r\nDate: Sat" + APPENDED);
    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> client.append(new byte[0]))
        .matches(LogException::possiblyEffective);
  }

  /** Guards against a process that ends because of a body without an end. */
  @Test
  void largeAnswerIsRefused() {
    answerFirstConnection(
        "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n" + " ".repeat(40_000_000));
    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> client.read(0, 1, Duration.ZERO))
        .withMessageContaining("limit");
  }
}
